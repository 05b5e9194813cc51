package crowd

import (
	"bufio"
	"encoding/hex"
	"errors"
	"fmt"
	"io/fs"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Usage is what a process uses, as seen from outside.
type Usage struct {
	// ResidentBytes is the resident memory. UnreadBytes are in the receive queues of the
	// connections to the addresses of its listeners.
	ResidentBytes, UnreadBytes int64
	Descriptors                int
}

// Memory is what the machine counts as the process's memory.
func (u Usage) Memory() int64 { return u.ResidentBytes + u.UnreadBytes }

// Measure measures a process that listens at the addresses.
func Measure(pid int, listeners ...string) (Usage, error) {
	var u Usage
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return u, err
	}
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, err := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			if err != nil {
				return u, fmt.Errorf("resident memory of process %d: %w", pid, err)
			}
			u.ResidentBytes = kb << 10
		}
	}
	descriptors, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return u, err
	}
	u.Descriptors = len(descriptors)
	u.UnreadBytes, err = unreadBytes(listeners)
	return u, err
}

// tcpListenState is the state of a listening socket in /proc/net/tcp.
const tcpListenState = "0A"

// unreadBytes sums the receive queues of the connections whose local address is one of the given.
func unreadBytes(addresses []string) (int64, error) {
	local := map[string]bool{}
	for _, a := range addresses {
		p, err := netip.ParseAddrPort(a)
		if err != nil {
			return 0, err
		}
		ip := p.Addr().As4()
		local[strings.ToUpper(hex.EncodeToString([]byte{ip[3], ip[2], ip[1], ip[0]}))+fmt.Sprintf(":%04X", p.Port())] = true
	}
	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0, err
	}
	defer f.Close()
	var sum int64
	for lines := bufio.NewScanner(f); lines.Scan(); {
		// sl local_address rem_address st tx_queue:rx_queue ...
		fields := strings.Fields(lines.Text())
		if len(fields) < 5 || !local[fields[1]] || fields[3] == tcpListenState {
			continue
		}
		_, rx, _ := strings.Cut(fields[4], ":")
		n, err := strconv.ParseInt(rx, 16, 64)
		if err != nil {
			return 0, fmt.Errorf("receive queue %q: %w", fields[4], err)
		}
		sum += n
	}
	return sum, nil
}

// sampleInterval is the interval at which a Monitor measures.
const sampleInterval = 50 * time.Millisecond

// Monitor measures a process until it is stopped.
type Monitor struct {
	stop chan struct{}
	done sync.WaitGroup

	peakMemory Usage
	peakFDs    int
	err        error
}

// Watch starts measuring a process that listens at the addresses.
func Watch(pid int, listeners ...string) *Monitor {
	m := &Monitor{stop: make(chan struct{})}
	m.done.Go(func() {
		for {
			u, err := Measure(pid, listeners...)
			if err != nil && !errors.Is(err, fs.ErrNotExist) {
				m.err = err
			}
			if u.Memory() > m.peakMemory.Memory() {
				m.peakMemory = u
			}
			m.peakFDs = max(m.peakFDs, u.Descriptors)
			select {
			case <-m.stop:
				return
			case <-time.After(sampleInterval):
			}
		}
	})
	return m
}

// Stop ends the measuring and returns the usage when the memory was at its peak, and the largest
// number of descriptors.
func (m *Monitor) Stop() (peak Usage, descriptors int, err error) {
	close(m.stop)
	m.done.Wait()
	return m.peakMemory, m.peakFDs, m.err
}
