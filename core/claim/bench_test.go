package claim

import (
	"encoding/binary"
	"runtime"
	"testing"
	"time"
)

// benchKey returns a distinct key for each i. All keys have the same creation time.
func benchKey(i int) Key {
	k := keyAt(baseTime, 0)
	binary.BigEndian.PutUint32(k.ID[12:], uint32(i))
	return k
}

func benchPolicy(keys int) Policy {
	p := testPolicy
	p.MaxKeys, p.MaxBytes, p.MaxResult = keys, 1<<30, 64<<10
	return p
}

// BenchmarkAcquire measures one grant of a new key by one holder on one core, and the
// memory that the holder uses for it.
func BenchmarkAcquire(b *testing.B) {
	h := NewHolder("a", 1, baseTime.Add(-time.Hour), benchPolicy(b.N))
	env := Env{Now: baseTime, Epoch: 1, Ready: true}
	acquires := make([]Acquire, b.N)
	for i := range acquires {
		acquires[i] = Acquire{Key: benchKey(i), Owner: ownerOf("a", "0198c5a0-0000-7000-8000-000000000000"), Round: 1, Epoch: 1}
	}
	before := heap()
	b.ResetTimer()
	for _, a := range acquires {
		h.Acquire(env, a)
	}
	b.StopTimer()
	b.ReportMetric(float64(heap()-before)/float64(b.N), "heap-B/claim")
	runtime.KeepAlive(h)
	runtime.KeepAlive(acquires)
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkGroup measures the computation of one key's group among 7 hosts.
func BenchmarkGroup(b *testing.B) {
	v := view(1, "a", "b", "c", "d", "e", "f", "g")
	for i := 0; b.Loop(); i++ {
		Group(v.Hosts, benchKey(i), 3)
	}
}
