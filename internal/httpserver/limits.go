package httpserver

import (
	"syscall"
	"time"

	"github.com/wheatseam/wheatseam/core/connections"
)

// Limits bound what clients of a Server can use.
type Limits struct {
	// Connections is the largest number of open connections.
	Connections int
	// HeadMemory is the memory in bytes that the heads of all requests may take, from their first
	// byte to the end of the answer.
	HeadMemory int64
	// MaxHeadBytes is the largest size of one head. Larger ones get status 431.
	MaxHeadBytes int
	// HeaderTimeout is how long a client may take to send a head.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may be idle. KeepIdle is the part of it for which clients
	// may rely on an idle connection: later it is the first to be closed for a new one.
	IdleTimeout, KeepIdle time.Duration
	// ReadTimeout is how long a client may take to send a request; 0 for no limit. It is fixed when
	// the server starts.
	ReadTimeout time.Duration
	// WriteTimeout is how long a write may wait for a client that doesn't read.
	WriteTimeout time.Duration
}

// Defaults for listeners whose clients are few.
const (
	DefaultHeaderTimeout = 10 * time.Second
	DefaultIdleTimeout   = 2 * time.Minute
	DefaultWriteTimeout  = 30 * time.Second
	DefaultMaxHeadBytes  = 16 << 10
)

// SmallLimits are the limits of a listener for a few trusted clients, such as probes.
func SmallLimits() Limits {
	return Limits{
		Connections: 32, HeadMemory: MinHeadMemory(DefaultMaxHeadBytes), MaxHeadBytes: DefaultMaxHeadBytes,
		HeaderTimeout: DefaultHeaderTimeout, IdleTimeout: DefaultIdleTimeout, KeepIdle: DefaultIdleTimeout, WriteTimeout: DefaultWriteTimeout,
	}
}

// What a connection costs.
const (
	// ConnectionBytes is the memory of a connection: its goroutine's stack and net/http's buffers.
	ConnectionBytes = 20 << 10
	// receiveBufferBytes is the size that the kernel is asked for; it takes twice as much, for its
	// own overhead, and may fill all of it with data.
	receiveBufferBytes = 16 << 10
	// UnreadBytes is what the kernel holds of a connection at most that the process has not read.
	UnreadBytes = 2 * receiveBufferBytes
	// headerLineBytes is what a line of a head costs beside its bytes: an entry of a map of the
	// parsed header, and of the one that is passed on.
	headerLineBytes = 200
	// shortestLineBytes is the size of the shortest line of a head.
	shortestLineBytes = 4
	// encryptedFactor is what a byte of an encrypted head costs, whose lines can't be counted.
	encryptedFactor = headerLineBytes / shortestLineBytes
	// bufferBytes is the size of net/http's read buffer.
	bufferBytes = 4 << 10
)

// MinHeadMemory returns the smallest Limits.HeadMemory in which a head of at most maxHeadBytes fits,
// whatever its lines are.
func MinHeadMemory(maxHeadBytes int) int64 {
	const worstPerByte = 1 + headerLineBytes/shortestLineBytes
	return int64(worstPerByte * float64(maxHeadBytes+bufferBytes) / connections.LargeHeadShare)
}

// reservedDescriptors are kept back for files, such as the log and settings.
const reservedDescriptors = 200

// callerShare is the part of the descriptors for connections from clients. The other part is for
// those to replicas, peers and the store: a request in work needs one at a time.
const callerShare = 0.5

// MaxConnections returns how many connections from clients the descriptors of the process allow.
// configured is the number of descriptors that the machine grants, if it is known; else 0.
func MaxConnections(configured int) int {
	descriptors := configured
	var l syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l); err == nil && l.Cur > 0 {
		if own := int(min(l.Cur, 1<<30)); descriptors == 0 || own < descriptors {
			descriptors = own
		}
	}
	return max(minConnections, int(callerShare*float64(descriptors-reservedDescriptors)))
}

// minConnections are allowed whatever the limits of the machine.
const minConnections = 16
