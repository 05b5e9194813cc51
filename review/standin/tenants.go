package main

import (
	"fmt"
	"net"
	"net/http"
	"time"
)

const (
	tenantsHost = "seal.example"
	// configBound is config_ms of the settings, and configMargin the time by which the
	// requests come later than the rule asks for.
	configBound  = 2 * time.Second
	configMargin = 2 * time.Second
)

// playTenants takes the keys of the only tenant away and sends requests with one of these keys,
// with a key that no configuration held, and without any.
func playTenants(rec *recorder, trouble bool) (bool, error) {
	f, err := newFleet(rec, 2)
	if err != nil {
		return false, err
	}
	defer f.close()
	seen := &runs{byID: map[string]string{}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return false, err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("Attempt-Id")
		seen.record(id, fmt.Sprintf("Tenant %q", r.Header.Get("Tenant")))
		rec.line("replica i-1 runs %s, Tenant: %q", id, r.Header.Get("Tenant"))
		w.Header().Set("Attempt-Id", id)
		w.Header().Set("Response-Signature", "i-1."+id)
		_, _ = w.Write([]byte("ok"))
	})}
	go func() { _ = server.Serve(l) }()
	defer server.Close()
	f.store.Put("servers/i-1", map[string]any{
		"service": "signing", "address": l.Addr().String(), "zone": "miraflores", "version": "v1", "concurrency": 6, "phase": "ready", "seq": 1, "warmup_left_ms": 0,
	})
	publish := func(version int, tenants []any) {
		f.store.Put("op/config", map[string]any{
			"version": version,
			"routes": []any{map[string]any{
				"name": "r-1", "hostname": tenantsHost, "prefix": "/seal/", "route_type": "unsafe", "timeout_ms": 1500, "goal_ms": 100,
				"priority": 0, "service": "signing", "attempts": 1, "public": false,
			}},
			"services": []any{map[string]any{"name": "signing", "health_path": "/healthz", "max_conns": 49, "protocol": "h1", "tls": false}},
			"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
			"tenants":  tenants,
		})
		rec.line("operator: version %d acknowledged, tenants %v", version, tenants)
	}
	publish(7, []any{map[string]any{"name": "firma", "api_keys": []string{"key-1", "key-2"}, "priority": 1}})
	if err := f.start(); err != nil {
		return false, err
	}
	next := 0
	send := func(d *daemon, key string) (ran bool, err error) {
		next++
		id := fmt.Sprintf("%016x", next)
		status, err := post(d.callerAddress(), tenantsHost, "/seal/"+id, id, key)
		if err != nil {
			return false, err
		}
		rec.line("consumer: %s to %s with key %q: %q", id, d.name, key, status)
		return seen.get(id) != "", nil
	}
	for _, d := range f.daemons {
		for _, key := range []string{"key-1", "never-held", ""} {
			if _, err := send(d, key); err != nil {
				return false, err
			}
		}
	}
	if trouble {
		publish(9, []any{})
	}
	time.Sleep(configBound + configMargin)
	broken := 0
	for _, d := range f.daemons {
		for _, key := range []string{"never-held", "", "key-1"} {
			ran, err := send(d, key)
			if err != nil {
				return false, err
			}
			if ran && (trouble || key != "key-1") {
				broken++
				rec.line("ROUTE: a request with key %q ran", key)
			}
		}
	}
	rec.line("%d requests ran whose key the configuration does not hold", broken)
	return broken > 0, nil
}
