package origin

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"time"
)

// KeySize is the size of a Key in bytes.
const KeySize = 16

// Key identifies a stream: the hash of the customer and of the ID of the caller's attempt that
// brought its first event. No customer can name the stream of another one.
type Key [KeySize]byte

// NewKey returns the key of a stream.
func NewKey(customer, attempt string) Key {
	h := sha256.New()
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(len(customer)))
	_, _ = h.Write(length[:]) // hash.Hash.Write never returns an error
	_, _ = h.Write([]byte(customer))
	_, _ = h.Write([]byte(attempt))
	return Key(h.Sum(nil)[:KeySize])
}

const (
	// MaxRecords limits the records of one host, at about 230 bytes each.
	MaxRecords = 16384
	// MaxLifetime limits for how long a record is kept.
	MaxLifetime = 2 * time.Minute
)

// Record is the version that began a stream.
type Record struct {
	Key              Key
	Service, Version string
	// Expires is until when the record is kept, and OpenUntil until when the stream may be in progress
	// or be taken up, as far as its caller has said.
	Expires, OpenUntil time.Time
	// Own says that this host sent the first event, or one after a resume, and Sent that
	// the record was sent to the holders.
	Own, Sent bool
}

// Records holds the records of one host. The zero value is ready to use.
type Records struct {
	records map[Key]Record
	// prunedAt is when expired records were last removed.
	prunedAt time.Time
}

// pruneInterval is the interval at which expired records are removed.
const pruneInterval = time.Second

// Put stores a record. The first service and version that are recorded for a stream stay.
func (s *Records) Put(now time.Time, r Record) {
	if s.records == nil {
		s.records = map[Key]Record{}
	}
	s.prune(now)
	if last := now.Add(MaxLifetime); r.Expires.After(last) {
		r.Expires = last
	}
	if old, known := s.records[r.Key]; known && old.Expires.After(now) {
		r.Service, r.Version = cmp.Or(old.Service, r.Service), old.Version // earlier daemons name no service
		r.Own, r.Sent = r.Own || old.Own, r.Sent || old.Sent
		r.Expires, r.OpenUntil = latest(r.Expires, old.Expires), latest(r.OpenUntil, old.OpenUntil)
	} else if len(s.records) >= MaxRecords {
		s.dropAny()
	}
	s.records[r.Key] = r
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// dropAny drops a record, one that expires early among a few.
func (s *Records) dropAny() {
	const considered = 8
	var drop Key
	n := 0
	for k, r := range s.records {
		if n == 0 || r.Expires.Before(s.records[drop].Expires) {
			drop = k
		}
		if n++; n >= considered {
			break
		}
	}
	delete(s.records, drop)
}

// Get returns the record of a stream.
func (s *Records) Get(now time.Time, k Key) (Record, bool) {
	r, known := s.records[k]
	return r, known && r.Expires.After(now)
}

// Open reports whether there is a record of a stream that may still be in progress or be taken up.
func (s *Records) Open(now time.Time, k Key) bool {
	r, known := s.Get(now, k)
	return known && r.OpenUntil.After(now)
}

// Remove removes the record of a stream that has ended.
func (s *Records) Remove(k Key) { delete(s.records, k) }

// TakeUnsent marks the own records of a service as sent, and returns those that were not.
func (s *Records) TakeUnsent(now time.Time, service string) []Record {
	var out []Record
	for k, r := range s.records {
		if r.Own && !r.Sent && r.Service == service && r.Expires.After(now) {
			r.Sent = true
			s.records[k] = r
			out = append(out, r)
		}
	}
	return out
}

// All returns the records of the services for which include returns true.
func (s *Records) All(now time.Time, include func(service string) bool) []Record {
	included := map[string]bool{}
	var out []Record
	for _, r := range s.records {
		if _, asked := included[r.Service]; !asked {
			included[r.Service] = include(r.Service)
		}
		if included[r.Service] && r.Expires.After(now) {
			out = append(out, r)
		}
	}
	return out
}

// Len returns the number of records.
func (s *Records) Len() int { return len(s.records) }

// prune removes expired records.
func (s *Records) prune(now time.Time) {
	if now.Sub(s.prunedAt) < pruneInterval {
		return
	}
	s.prunedAt = now
	for k, r := range s.records {
		if !r.Expires.After(now) {
			delete(s.records, k)
		}
	}
}
