package soak

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"github.com/wheatseam/wheatseam/internal/faultrelay"
	"github.com/wheatseam/wheatseam/internal/standin/site"
)

// inject draws faults by the seed until ctx ends. Each lasts a while beside
// those that follow.
func (r *Run) inject(ctx context.Context) {
	for ctx.Err() == nil {
		r.draws()()
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(100+r.rng.IntN(900)) * time.Millisecond):
		}
	}
}

// draws returns the next fault.
func (r *Run) draws() func() {
	d := r.daemons[r.rng.IntN(len(r.daemons))]
	for1 := time.Duration(200+r.rng.IntN(2500)) * time.Millisecond
	rep := r.anyReplica()
	faults := []func(){
		func() { r.restart(d, syscall.SIGTERM, "stopped") },
		func() { r.restart(d, syscall.SIGKILL, "killed") },
		func() { r.pause(d, for1) },
		func() { r.reload(d) },
		func() { r.relayFault(d, d.store, "store", for1) },
		func() { r.relayFault(d, d.peers, "fellows", for1) },
		func() { r.silence(d, d.store, "store") },
		func() { r.silence(d, d.peers, "fellows") },
		func() { r.storeFault(for1) },
		func() { r.behave(rep, for1) },
		func() { r.behave(rep, for1) },
		func() { r.replace(rep) },
		func() { r.changeKeys() },
	}
	return faults[r.rng.IntN(len(faults))]
}

// note adds a fault to the report.
func (r *Run) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := time.Since(r.began).Round(time.Millisecond)
	r.report.Faults = append(r.report.Faults, fmt.Sprintf("%8s  %s", at, fmt.Sprintf(format, args...)))
}

func (r *Run) anyReplica() *site.Replica {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.replicas[r.rng.IntN(len(r.replicas))]
}

// restart ends a daemon and starts it again; one that is on its way out gets
// the further signal only.
func (r *Run) restart(d *daemon, s syscall.Signal, how string) {
	r.note("%s is %s", d.name, how)
	go func() {
		if !d.restarting.TryLock() {
			d.signal(s)
			return
		}
		defer d.restarting.Unlock()
		d.stop(s)
		if err := d.start(); err != nil {
			r.violate("%s does not start: %v", d.name, err)
		}
	}()
	time.Sleep(20 * time.Millisecond)
}

func (r *Run) pause(d *daemon, for1 time.Duration) {
	r.note("%s stands still for %s", d.name, for1)
	d.signal(syscall.SIGSTOP)
	time.AfterFunc(for1, func() {
		d.touched()
		d.signal(syscall.SIGCONT)
	})
}

// suspend has a daemon stand still, and find as it goes on that its host has slept
// for longer than the steady clock says.
// A process that has not begun to serve would end at the signal.
func (r *Run) suspend(d *daemon, for1 time.Duration) {
	life := d.lives()
	if !d.ready() {
		return
	}
	r.note("the host of %s sleeps for %s", d.name, for1+simulatedSleep)
	d.signal(syscall.SIGSTOP)
	time.AfterFunc(for1, func() {
		d.touched()
		if d.lives() == life {
			d.signal(syscall.SIGUSR1)
		}
		d.signal(syscall.SIGCONT)
	})
}

// reload changes the settings and tells the daemon.
func (r *Run) reload(d *daemon) {
	r.note("%s reloads its settings", d.name)
	var seeds []string
	for _, o := range r.daemons[:min(3, len(r.daemons))] {
		seeds = append(seeds, o.host())
	}
	if err := d.writeSettings(seeds); err != nil {
		r.violate("settings of %s: %v", d.name, err)
	}
	d.signal(syscall.SIGHUP)
}

// relayFault cuts, delays or silences a way to or from a daemon.
func (r *Run) relayFault(d *daemon, relay *faultrelay.Relay, way string, for1 time.Duration) {
	silent := faultrelay.Direction{Blackhole: true}
	slow := faultrelay.Direction{Delay: time.Duration(20+r.rng.IntN(300)) * time.Millisecond}
	kinds := []struct {
		name string
		c    faultrelay.Conditions
	}{
		{"cut", faultrelay.Conditions{Cut: true}},
		{"silenced", faultrelay.Conditions{ToTarget: silent, ToCaller: silent}},
		{"silenced one way", faultrelay.Conditions{ToCaller: silent}},
		{"silenced the other way", faultrelay.Conditions{ToTarget: silent}},
		{"slow", faultrelay.Conditions{ToTarget: slow, ToCaller: slow}},
	}
	k := kinds[r.rng.IntN(len(kinds))]
	r.note("%s and its %s: %s for %s", d.name, way, k.name, for1)
	relay.Set(k.c)
	time.AfterFunc(for1, func() {
		d.touched()
		relay.Heal()
	})
}

// silence silences the connections that a daemon has open to or from others,
// for good; new ones work.
func (r *Run) silence(d *daemon, relay *faultrelay.Relay, way string) {
	n := relay.Silence()
	d.touched()
	r.note("%s and its %s: %d open connections silenced for good", d.name, way, n)
}

func (r *Run) storeFault(for1 time.Duration) {
	kind := r.rng.IntN(3)
	r.note("the store is %s for %s", []string{"down", "busy", "slow"}[kind], for1)
	switch kind {
	case 0:
		r.store.SetFailure(503)
	case 1:
		r.store.SetFailure(429)
	default:
		r.store.SetDelay(400 * time.Millisecond)
	}
	time.AfterFunc(for1, func() {
		r.store.SetFailure(0)
		r.store.SetDelay(0)
		for _, d := range r.daemons {
			d.touched()
		}
	})
}

// behave makes a replica misbehave for a while.
func (r *Run) behave(rep *site.Replica, for1 time.Duration) {
	kinds := []struct {
		name string
		b    site.Behaviour
	}{
		{"breaks off before its answers", site.Behaviour{AbortBeforeResponse: true}},
		{"breaks its answers off", site.Behaviour{Truncate: true, AbortAfterEvents: 2}},
		{"refuses", site.Behaviour{Shed: true}},
		{"refuses without a word", site.Behaviour{UnavailableAfterRun: true}},
		{"hangs", site.Behaviour{Hang: true}},
		{"sends no length", site.Behaviour{NoContentLength: true}},
		{"sends a second answer", site.Behaviour{ExtraResponse: true}},
		{"sends no signature", site.Behaviour{Unsigned: true}},
		{"is slow", site.Behaviour{ServiceTime: 300 * time.Millisecond}},
		{"fails", site.Behaviour{Status: 500}},
	}
	k := kinds[r.rng.IntN(len(kinds))]
	r.note("%s %s for %s", rep.ID, k.name, for1)
	rep.SetBehaviour(k.b)
	time.AfterFunc(for1, func() { rep.SetBehaviour(site.Behaviour{}) })
}

// replace adds a replica and lets one of its service drain.
func (r *Run) replace(rep *site.Replica) {
	r.mu.Lock()
	_, leaving := r.draining[rep.ID]
	id := fmt.Sprintf("%s-%d", rep.Service, len(r.replicas))
	r.mu.Unlock()
	if leaving {
		return
	}
	r.note("%s drains, %s replaces it", rep.ID, id)
	if err := r.addReplica(id, rep.Service, rep.Kind); err != nil {
		r.violate("replica %s: %v", id, err)
		return
	}
	r.store.Put("servers/"+rep.ID, site.StoreEntry(rep, "draining"))
	r.mu.Lock()
	r.draining[rep.ID] = time.Now()
	r.mu.Unlock()
	time.AfterFunc(2*drainBound, func() { r.store.Delete("servers/" + rep.ID) })
}

// changeKeys adds a key and takes the oldest away.
func (r *Run) changeKeys() {
	r.mu.Lock()
	r.revoked[r.keys[0]] = time.Now()
	r.keys = append(r.keys[1:], fmt.Sprintf("key-%d", r.version+1))
	r.mu.Unlock()
	r.configure()
	r.note("a key is taken away and one added")
}
