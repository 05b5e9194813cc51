package daemon

import (
	"errors"
	"time"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/engine"
	"github.com/wheatseam/wheatseam/service"
)

// clients holds a client for each pool of a bundle. It is immutable.
type clients struct {
	pools    map[string]bundle.Pool
	engines  map[string]*engine.Client
	services map[string]*service.Client
}

// errNoClient is the failure of a call whose pool doesn't serve the stage's
// protocol.
var errNoClient = errors.New("the pool does not serve stages of this kind")

// newClients returns the clients of a bundle. It reuses the clients of the previous
// bundle, with their open connections, for pools whose kind and connection limit
// are unchanged; old may be nil.
func newClients(b *bundle.Bundle, old *clients, now func() time.Time) *clients {
	c := &clients{
		pools:    make(map[string]bundle.Pool),
		engines:  make(map[string]*engine.Client),
		services: make(map[string]*service.Client),
	}
	for _, p := range b.Pools {
		c.pools[p.Name] = p
		switch p.Kind {
		case bundle.PoolEngine:
			if c.engines[p.Name] = old.reusableEngine(p); c.engines[p.Name] == nil {
				c.engines[p.Name] = engine.NewClient(p.MaxConnections, now)
			}
		case bundle.PoolService:
			if c.services[p.Name] = old.reusableService(p); c.services[p.Name] == nil {
				c.services[p.Name] = service.NewClient(p.MaxConnections, now)
			}
		}
	}
	return c
}

// reusableEngine returns the client of engine pool p if it can be reused, else nil.
func (c *clients) reusableEngine(p bundle.Pool) *engine.Client {
	if c == nil || c.pools[p.Name].MaxConnections != p.MaxConnections {
		return nil
	}
	return c.engines[p.Name]
}

// reusableService returns the client of service pool p if it can be reused, else
// nil.
func (c *clients) reusableService(p bundle.Pool) *service.Client {
	if c == nil || c.pools[p.Name].MaxConnections != p.MaxConnections {
		return nil
	}
	return c.services[p.Name]
}
