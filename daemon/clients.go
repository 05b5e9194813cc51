package daemon

import (
	"time"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/engine"
	"github.com/wheatseam/wheatseam/service"
)

// clients holds a client for each pool of a bundle. It does not change.
type clients struct {
	pools    map[string]bundle.Pool
	engines  map[string]*engine.Client
	services map[string]*service.Client
}

func newClients(b *bundle.Bundle, now func() time.Time) *clients {
	c := &clients{
		pools:    make(map[string]bundle.Pool),
		engines:  make(map[string]*engine.Client),
		services: make(map[string]*service.Client),
	}
	for _, p := range b.Pools {
		c.pools[p.Name] = p
		switch p.Kind {
		case bundle.PoolEngine:
			c.engines[p.Name] = engine.NewClient(p.MaxConnections, now)
		case bundle.PoolService:
			c.services[p.Name] = service.NewClient(p.MaxConnections, now)
		}
	}
	return c
}
