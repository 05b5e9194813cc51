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

// standIn is the stand-in for one upstream, as listed by the control listener of a
// stand-in fleet.
type standIn struct {
	Name    string `json:"name"`
	Pool    string `json:"pool"`
	Address string `json:"address"`
}

// listBundleUpstreams returns the upstreams of b as stand-ins.
func listBundleUpstreams(b *bundle.Bundle) []standIn {
	var out []standIn
	for _, p := range b.Pools {
		for _, u := range p.Upstreams {
			out = append(out, standIn{Name: u.Name, Pool: p.Name, Address: u.Address})
		}
	}
	return out
}

// discoverStandIns queries the control listeners of stand-in fleets for their
// upstreams.
func discoverStandIns(ctx context.Context, client *http.Client, control []string) ([]standIn, error) {
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

// ledgerSources returns the addresses from which ledgers are read: the control
// listeners, since a fleet has one ledger for all its upstreams, or else the stand-ins
// themselves.
func (o *replayOptions) ledgerSources(standIns []standIn) []ledger.Upstream {
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

// addressesByPool groups the addresses of stand-ins by pool.
func addressesByPool(standIns []standIn) map[string][]string {
	out := map[string][]string{}
	for _, s := range standIns {
		out[s.Pool] = append(out[s.Pool], s.Address)
	}
	return out
}

// clearFaults removes the faults from all stand-ins in the pools to whose upstreams
// the trace injects faults.
func clearFaults(ctx context.Context, client *http.Client, in *replayInput) error {
	faultyPools := map[string]bool{}
	for _, f := range in.trace.Faults {
		faultyPools[f.Pool] = true
	}
	var errs []error
	for _, s := range in.standIns {
		if faultyPools[s.Pool] {
			errs = append(errs, replay.ReplaceFaults(ctx, client, s.Address, []byte("{}")))
		}
	}
	return errors.Join(errs...)
}
