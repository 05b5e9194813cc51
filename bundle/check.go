package bundle

import (
	"net/netip"
	"strings"
	"time"

	"github.com/wheatseam/wheatseam/internal/strictyaml"
)

// checkMeaning checks what values mean beside each other: names that must
// exist or must differ, and deadlines that can be kept.
func checkMeaning(b *Bundle, r *strictyaml.Report) {
	c := &checker{Report: r, b: b}
	c.index()
	c.checkObjective()
	c.checkHosts()
	c.checkViews()
	c.checkClaims()
	c.checkPools()
	c.checkPipelines()
	c.checkCustomers()
}

// checker holds the names that a bundle defines.
type checker struct {
	*strictyaml.Report
	b         *Bundle
	domains   map[string]bool
	pools     map[string]*Pool
	pipelines map[string]bool
}

// unique tells the first use of a value from later ones.
type unique map[string]string

// check notes a fault at path when value was seen before.
func (u unique) check(c *checker, value, path string) {
	if value == "" {
		return
	}
	if first, seen := u[value]; seen {
		c.AddProblem(path, "%q is already used by %s", value, first)
		return
	}
	u[value] = path
}

func (c *checker) index() {
	c.domains = map[string]bool{}
	domainNames := unique{}
	for i, d := range c.b.FailureDomains {
		domainNames.check(c, d.Name, indexed("failure_domains", i)+".name")
		c.domains[d.Name] = true
	}
	c.pools = map[string]*Pool{}
	poolNames := unique{}
	for i := range c.b.Pools {
		p := &c.b.Pools[i]
		poolNames.check(c, p.Name, indexed("pools", i)+".name")
		c.pools[p.Name] = p
	}
	c.pipelines = map[string]bool{}
	pipelineNames := unique{}
	for i, p := range c.b.Pipelines {
		pipelineNames.check(c, p.Name, indexed("pipelines", i)+".name")
		c.pipelines[p.Name] = true
	}
}

// address notes a fault when text is no ip:port that can be connected to.
func (c *checker) address(text, path string) {
	address, err := netip.ParseAddrPort(text)
	if err == nil && address.Port() != 0 && !address.Addr().IsUnspecified() {
		return
	}
	if !c.HasProblemAt(path) {
		c.AddProblem(path, "want an address in the form ip:port")
	}
}

// domain notes a fault when no failure domain has that name.
func (c *checker) domain(name, path string) {
	if name != "" && !c.domains[name] {
		c.AddProblem(path, "there is no failure domain %q", name)
	}
}

func (c *checker) checkObjective() {
	if c.b.Objective.Attainment == 0 && c.b.Objective.CostByStage == 0 && !c.HasProblemAt("objective") {
		c.AddProblem("objective", "one of attainment and cost_by_stage must be above 0")
	}
}

func (c *checker) checkHosts() {
	names, addresses := unique{}, unique{}
	for i, h := range c.b.Hosts {
		path := indexed("hosts", i)
		names.check(c, h.Name, path+".name")
		addresses.check(c, h.PeerAddress, path+".peer_address")
		c.address(h.PeerAddress, path+".peer_address")
		if !h.EndedAt.IsZero() {
			c.AddProblem(path+".ended_at", "belongs to hosts in views")
		}
		c.domain(h.FailureDomain, path+".failure_domain")
	}
}

// checkViews wants the earlier host lists newest first. There are never more
// lists than versions of the bundle. Their failure domains may be gone by now.
func (c *checker) checkViews() {
	newer := c.b.Version
	for i, v := range c.b.Views {
		path := indexed("views", i)
		if v.Version >= newer {
			c.AddProblem(path+".version", "%d is not below %d: views stand newest first, below the bundle's version", v.Version, newer)
		}
		newer = v.Version
		names := unique{}
		for j, h := range v.Hosts {
			names.check(c, h.Name, indexed(path+".hosts", j)+".name")
		}
	}
}

func (c *checker) checkClaims() {
	p := c.b.Claims
	switch {
	case p.GroupSize < 1:
		c.AddProblem("claims.group_size", "must be 1 or more")
	case p.GroupSize%2 == 0:
		c.AddProblem("claims.group_size", "%d is even: a majority of it is no safer than of %d", p.GroupSize, p.GroupSize-1)
	case p.GroupSize > len(c.b.Hosts):
		c.AddProblem("claims.group_size", "%d is more than the %d hosts", p.GroupSize, len(c.b.Hosts))
	}
	if p.MaxClockSkew <= 0 {
		c.AddProblem("claims.max_clock_skew", "must be above 0")
	}
	if p.MaxKeyAhead < 0 {
		c.AddProblem("claims.max_key_ahead", "must be 0 or more")
	}
	if p.Retention <= p.MaxClockSkew+p.MaxKeyAhead {
		c.AddProblem("claims.retention", "must be above max_clock_skew + max_key_ahead (%s)", p.MaxClockSkew+p.MaxKeyAhead)
	}
}

// checkPools wants upstreams' names and addresses to differ over all pools:
// the host list names an upstream without its pool.
func (c *checker) checkPools() {
	names, addresses := unique{}, unique{}
	for i, p := range c.b.Pools {
		path := indexed("pools", i)
		c.checkPoolKind(p, path)
		adapters := unique{}
		for j, a := range p.Adapters {
			adapters.check(c, a, indexed(path+".adapters", j))
		}
		for j, u := range p.Upstreams {
			upstream := indexed(path+".upstreams", j)
			names.check(c, u.Name, upstream+".name")
			addresses.check(c, u.Address, upstream+".address")
			c.address(u.Address, upstream+".address")
			c.domain(u.FailureDomain, upstream+".failure_domain")
		}
	}
}

func (c *checker) checkPoolKind(p Pool, path string) {
	if p.Kind == PoolEngine && p.Model == "" {
		c.AddProblem(path+".model", "an engine pool needs a model")
	}
	if p.Kind != PoolService {
		return
	}
	if p.Model != "" || p.Version != "" || len(p.Adapters) > 0 || p.Role != "" {
		c.AddProblem(path, "model, model_version, adapters and role belong to engine pools")
	}
}

func (c *checker) checkPipelines() {
	for i, p := range c.b.Pipelines {
		path := indexed("pipelines", i)
		c.checkDeadline(p, path)
		names := unique{}
		for j, s := range p.Stages {
			stage := indexed(path+".stages", j)
			names.check(c, s.Name, stage+".name")
			c.checkStage(s, stage)
		}
	}
}

// checkDeadline wants a deadline that the stages can meet and, where a stage
// may not be repeated, one that ends before its claim is forgotten.
func (c *checker) checkDeadline(p Pipeline, path string) {
	var expected time.Duration
	nonRepeatable := false
	for _, s := range p.Stages {
		expected += s.Expected
		nonRepeatable = nonRepeatable || s.NonRepeatable
	}
	if p.Deadline > 0 && expected > p.Deadline {
		c.AddProblem(path+".deadline", "%s is impossible: the stages are expected to take %s", p.Deadline, expected)
	}
	claims := c.b.Claims
	if nonRepeatable && p.Deadline+claims.MaxClockSkew+claims.MaxKeyAhead >= claims.Retention {
		c.AddProblem(path+".deadline", "%s with max_clock_skew and max_key_ahead is not below claims.retention (%s), "+
			"so a claim could be forgotten while its request runs", p.Deadline, claims.Retention)
	}
}

func (c *checker) checkStage(s Stage, path string) {
	if s.NonRepeatable && s.Kind != StageCall {
		c.AddProblem(path+".non_repeatable", "only a stage of kind call can be non-repeatable, not %s", s.Kind)
	}
	if s.MaxTokens > 0 && s.Kind != StageGenerate {
		c.AddProblem(path+".max_tokens", "belongs to stages of kind generate")
	}
	if s.Path != "" && !strings.HasPrefix(s.Path, "/") {
		c.AddProblem(path+".path", "must start with /")
	}
	if s.Path != "" && s.Kind == StageGenerate {
		c.AddProblem(path+".path", "belongs to stages that call services")
	}
	pool, known := c.pools[s.Pool]
	switch {
	case s.Pool == "":
	case !known:
		c.AddProblem(path+".pool", "there is no pool %q", s.Pool)
	case s.Kind == StageGenerate && pool.Kind != PoolEngine:
		c.AddProblem(path+".pool", "a generate stage needs an engine pool; %q is of kind %s", s.Pool, pool.Kind)
	case s.Kind != StageGenerate && pool.Kind != PoolService:
		c.AddProblem(path+".pool", "a stage of kind %s needs a service pool; %q is of kind %s", s.Kind, s.Pool, pool.Kind)
	}
}

func (c *checker) checkCustomers() {
	names, hashes := unique{}, unique{}
	for i, customer := range c.b.Customers {
		path := indexed("customers", i)
		names.check(c, customer.Name, path+".name")
		for j, hash := range customer.KeyHashes {
			c.checkKeyHash(hashes, hash, indexed(path+".key_hashes", j))
		}
		pipelines := unique{}
		for j, name := range customer.Pipelines {
			pipeline := indexed(path+".pipelines", j)
			pipelines.check(c, name, pipeline)
			if name != "" && !c.pipelines[name] {
				c.AddProblem(pipeline, "there is no pipeline %q", name)
			}
		}
	}
}

// checkKeyHash wants each hash once over all customers. Hashes are compared
// whatever their case, and only their first digits are shown.
func (c *checker) checkKeyHash(seen unique, hash, path string) {
	hash = strings.ToLower(hash)
	if first, known := seen[hash]; known {
		c.AddProblem(path, "key hash %s is already used by %s", shortHash(hash), first)
		return
	}
	seen[hash] = path
}

// shortHashDigits is how much of a key hash is shown.
const shortHashDigits = 8

func shortHash(hash string) string {
	if len(hash) <= shortHashDigits {
		return hash
	}
	return hash[:shortHashDigits] + "..."
}
