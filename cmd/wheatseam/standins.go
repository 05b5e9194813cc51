package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/replay"
	"github.com/wheatseam/wheatseam/replay/ledger"
)

// standIn is one stand-in for an upstream, as a fleet's control listener
// lists it.
type standIn struct {
	Name    string `json:"name"`
	Pool    string `json:"pool"`
	Address string `json:"address"`
}

// fromBundle lists the upstreams of b.
func fromBundle(b *bundle.Bundle) []standIn {
	var out []standIn
	for _, p := range b.Pools {
		for _, u := range p.Upstreams {
			out = append(out, standIn{Name: u.Name, Pool: p.Name, Address: u.Address})
		}
	}
	return out
}

// discover asks the control listeners of stand-in fleets for their upstreams.
func discover(ctx context.Context, client *http.Client, control []string) ([]standIn, error) {
	var out []standIn
	for _, address := range control {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/control/upstreams", nil)
		if err != nil {
			return nil, err
		}
		resp, err := client.Do(req)
		if err != nil {
			return nil, fmt.Errorf("stand-in fleet: %w", err)
		}
		var list []standIn
		err = json.NewDecoder(resp.Body).Decode(&list)
		resp.Body.Close()
		if err != nil {
			return nil, fmt.Errorf("stand-in fleet at %s: %w", address, err)
		}
		out = append(out, list...)
	}
	return out, nil
}

// ledgers lists whose ledgers are read: a fleet has one over all upstreams.
func (o *replayOptions) ledgers(standIns []standIn) []ledger.Upstream {
	var out []ledger.Upstream
	for _, address := range o.control {
		out = append(out, ledger.Upstream{Address: address})
	}
	if len(out) > 0 {
		return out
	}
	for _, s := range standIns {
		out = append(out, ledger.Upstream{Name: s.Name, Address: s.Address})
	}
	return out
}

// byPool groups the addresses by pool.
func byPool(standIns []standIn) map[string][]string {
	out := map[string][]string{}
	for _, s := range standIns {
		out[s.Pool] = append(out[s.Pool], s.Address)
	}
	return out
}

// clearFaults lifts all faults in the pools that the trace names.
func clearFaults(ctx context.Context, client *http.Client, in *replayInput) error {
	struck := map[string]bool{}
	for _, f := range in.trace.Faults {
		struck[f.Pool] = true
	}
	var errs []error
	for _, s := range in.standIns {
		if struck[s.Pool] {
			errs = append(errs, replay.ReplaceFaults(ctx, client, s.Address, []byte("{}")))
		}
	}
	return errors.Join(errs...)
}
