package soak

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"github.com/wheatseam/wheatseam/internal/faultrelay"
	"github.com/wheatseam/wheatseam/internal/standin/site"
)

// injectFaults injects random faults from the seed until ctx ends. A fault may still
// last when the next ones begin.
func (r *runner) injectFaults(ctx context.Context) {
	for ctx.Err() == nil {
		r.nextFault()()
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(100+r.faultRNG.IntN(900)) * time.Millisecond):
		}
	}
}

// nextFault draws a fault and returns the function that injects it.
func (r *runner) nextFault() func() {
	d := r.daemons[r.faultRNG.IntN(len(r.daemons))]
	duration := time.Duration(200+r.faultRNG.IntN(2500)) * time.Millisecond
	rep := r.randomReplica()
	faults := []func(){
		func() { r.restartDaemon(d, syscall.SIGTERM, "stopped") },
		func() { r.restartDaemon(d, syscall.SIGKILL, "killed") },
		func() { r.suspendDaemon(d, duration) },
		func() { r.reloadSettings(d) },
		func() { r.injectRelayFault(d, d.storeRelay, "store", duration) },
		func() { r.injectRelayFault(d, d.peerRelay, "peers", duration) },
		func() { r.blackholeOpenConnections(d, d.storeRelay, "store") },
		func() { r.blackholeOpenConnections(d, d.peerRelay, "peers") },
		func() { r.injectStoreFault(duration) },
		func() { r.injectMisbehaviour(rep, duration) },
		func() { r.injectMisbehaviour(rep, duration) },
		func() { r.replaceReplica(rep) },
		func() { r.rotateKeys() },
	}
	return faults[r.faultRNG.IntN(len(faults))]
}

// recordFault adds a fault to the report.
func (r *runner) recordFault(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := time.Since(r.startedAt).Round(time.Millisecond)
	r.report.Faults = append(r.report.Faults, fmt.Sprintf("%8s  %s", at, fmt.Sprintf(format, args...)))
}

func (r *runner) randomReplica() *site.Replica {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.replicas[r.faultRNG.IntN(len(r.replicas))]
}

// restartDaemon stops a daemon with s and starts it again. A daemon that is already
// being restarted only gets the signal, so that it is not started twice.
func (r *runner) restartDaemon(d *daemon, s syscall.Signal, how string) {
	r.recordFault("%s is %s", d.name, how)
	go func() {
		if !d.restarting.TryLock() {
			d.signal(s)
			return
		}
		defer d.restarting.Unlock()
		d.stop(s)
		if err := d.start(); err != nil {
			r.recordViolation("%s does not start: %v", d.name, err)
		}
	}()
	time.Sleep(20 * time.Millisecond)
}

func (r *runner) suspendDaemon(d *daemon, duration time.Duration) {
	r.recordFault("%s is suspended for %s", d.name, duration)
	d.signal(syscall.SIGSTOP)
	time.AfterFunc(duration, func() {
		d.recordDisturbance()
		d.signal(syscall.SIGCONT)
	})
}

// suspendHost simulates that the host of a daemon is suspended. It suspends the process and
// resumes it after duration with a SIGUSR1 pending, at which the process takes the host to
// have been suspended for longer than the monotonic clock shows. It skips a daemon that is
// not ready, since SIGUSR1 would end a process that has not yet installed its handler.
func (r *runner) suspendHost(d *daemon, duration time.Duration) {
	incarnation := d.currentIncarnation()
	if !d.ready() {
		return
	}
	r.recordFault("the host of %s is suspended for %s", d.name, duration+simulatedSuspension)
	d.signal(syscall.SIGSTOP)
	time.AfterFunc(duration, func() {
		d.recordDisturbance()
		if d.currentIncarnation() == incarnation {
			d.signal(syscall.SIGUSR1)
		}
		d.signal(syscall.SIGCONT)
	})
}

// reloadSettings changes the daemon's settings file and sends it SIGHUP, unless it is not ready:
// SIGHUP would end a process that has not yet installed its handler.
func (r *runner) reloadSettings(d *daemon) {
	r.recordFault("%s reloads its settings", d.name)
	var seeds []string
	for _, o := range r.daemons[:min(3, len(r.daemons))] {
		seeds = append(seeds, o.peerAddress())
	}
	if err := d.writeSettings(seeds); err != nil {
		r.recordViolation("settings of %s: %v", d.name, err)
	}
	if d.ready() {
		d.signal(syscall.SIGHUP)
	}
}

// injectRelayFault resets, delays or blackholes the connections of a relay to or from a
// daemon. The peer is named in the report.
func (r *runner) injectRelayFault(d *daemon, relay *faultrelay.Relay, peer string, duration time.Duration) {
	blackhole := faultrelay.Direction{Blackhole: true}
	delayed := faultrelay.Direction{Delay: time.Duration(20+r.faultRNG.IntN(300)) * time.Millisecond}
	kinds := []struct {
		name string
		c    faultrelay.Conditions
	}{
		{"cut", faultrelay.Conditions{Cut: true}},
		{"blackholed", faultrelay.Conditions{ToTarget: blackhole, ToCaller: blackhole}},
		{"blackholed one way", faultrelay.Conditions{ToCaller: blackhole}},
		{"blackholed the other way", faultrelay.Conditions{ToTarget: blackhole}},
		{"slow", faultrelay.Conditions{ToTarget: delayed, ToCaller: delayed}},
	}
	k := kinds[r.faultRNG.IntN(len(kinds))]
	r.recordFault("%s and its %s: %s for %s", d.name, peer, k.name, duration)
	if relay == d.peerRelay {
		d.recordLinkFault()
	}
	relay.Set(k.c)
	time.AfterFunc(duration, func() {
		d.recordDisturbance()
		relay.Heal()
	})
}

// blackholeOpenConnections makes the connections that a relay to or from a daemon has
// open a permanent blackhole; new connections work.
func (r *runner) blackholeOpenConnections(d *daemon, relay *faultrelay.Relay, peer string) {
	n := relay.BlackholeOpenConnections()
	d.recordDisturbance()
	if relay == d.peerRelay {
		d.recordLinkFault()
	}
	r.recordFault("%s and its %s: %d open connections are a permanent blackhole", d.name, peer, n)
}

func (r *runner) injectStoreFault(duration time.Duration) {
	kind := r.faultRNG.IntN(3)
	r.recordFault("the store is %s for %s", []string{"down", "busy", "slow"}[kind], duration)
	switch kind {
	case 0:
		r.store.SetFailure(503)
	case 1:
		r.store.SetFailure(429)
	default:
		r.store.SetDelay(400 * time.Millisecond)
	}
	time.AfterFunc(duration, func() {
		r.store.SetFailure(0)
		r.store.SetDelay(0)
		for _, d := range r.daemons {
			d.recordDisturbance()
		}
	})
}

// injectMisbehaviour makes a replica misbehave for the duration.
func (r *runner) injectMisbehaviour(rep *site.Replica, duration time.Duration) {
	kinds := []struct {
		name string
		b    site.Behaviour
	}{
		{"aborts before its answers", site.Behaviour{AbortBeforeResponse: true}},
		{"aborts its answers", site.Behaviour{Truncate: true, AbortAfterEvents: 2}},
		{"refuses", site.Behaviour{Shed: true}},
		{"refuses without saying that nothing ran", site.Behaviour{UnavailableAfterRun: true}},
		{"hangs", site.Behaviour{Hang: true}},
		{"sends no length", site.Behaviour{NoContentLength: true}},
		{"ends its answers with their connections", site.Behaviour{Unframed: true}},
		{"sends a second answer", site.Behaviour{ExtraResponse: true}},
		{"sends no signature", site.Behaviour{Unsigned: true}},
		{"is slow", site.Behaviour{ServiceTime: 300 * time.Millisecond}},
		{"fails", site.Behaviour{Status: 500}},
	}
	k := kinds[r.faultRNG.IntN(len(kinds))]
	r.recordFault("%s %s for %s", rep.ID, k.name, duration)
	rep.SetBehaviour(k.b)
	time.AfterFunc(duration, func() { rep.SetBehaviour(site.Behaviour{}) })
}

// replaceReplica adds a replica to the service of rep and sets rep to draining, unless
// it is draining already.
func (r *runner) replaceReplica(rep *site.Replica) {
	r.mu.Lock()
	_, draining := r.drainingSince[rep.ID]
	id := fmt.Sprintf("%s-%d", rep.Service, len(r.replicas))
	r.mu.Unlock()
	if draining {
		return
	}
	r.recordFault("%s drains, %s replaces it", rep.ID, id)
	if err := r.addReplica(id, rep.Service, rep.Kind); err != nil {
		r.recordViolation("replica %s: %v", id, err)
		return
	}
	r.store.Put("servers/"+rep.ID, site.StoreEntry(rep, "draining"))
	r.mu.Lock()
	r.drainingSince[rep.ID] = time.Now()
	r.mu.Unlock()
	time.AfterFunc(2*drainBound, func() { r.store.Delete("servers/" + rep.ID) })
}

// rotateKeys adds an API key and revokes the oldest one.
func (r *runner) rotateKeys() {
	r.mu.Lock()
	r.revokedAt[r.apiKeys[0]] = time.Now()
	r.apiKeys = append(r.apiKeys[1:], fmt.Sprintf("key-%d", r.configVersion+1))
	r.mu.Unlock()
	r.publishConfiguration()
	r.recordFault("an API key is revoked and another one added")
}
