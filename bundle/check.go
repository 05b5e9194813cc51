package bundle

import (
	"net/netip"
	"strings"
	"time"

	"github.com/wheatseam/wheatseam/internal/strictyaml"
)

// checkSemantics checks constraints between values: names that must exist or be
// unique, and deadlines that the stages can meet.
func checkSemantics(b *Bundle, r *strictyaml.Report) {
	c := &checker{Report: r, bundle: b}
	c.indexNames()
	c.checkObjective()
	c.checkHosts()
	c.checkViews()
	c.checkClaims()
	c.checkPools()
	c.checkPipelines()
	c.checkCustomers()
}

// checker checks a bundle. It holds the names that the bundle defines and collects
// problems in the report.
type checker struct {
	*strictyaml.Report
	bundle         *Bundle
	failureDomains map[string]bool
	pools          map[string]*Pool
	pipelines      map[string]bool
}

// firstPaths maps each value to the path of its first use.
type firstPaths map[string]string

// checkUnique reports a problem at path if value has been used before. Empty
// values are ignored.
func (paths firstPaths) checkUnique(c *checker, value, path string) {
	if value == "" {
		return
	}
	if first, seen := paths[value]; seen {
		c.AddProblem(path, "%q is already used by %s", value, first)
		return
	}
	paths[value] = path
}

func (c *checker) indexNames() {
	c.failureDomains = map[string]bool{}
	domainNames := firstPaths{}
	for i, d := range c.bundle.FailureDomains {
		domainNames.checkUnique(c, d.Name, indexedPath("failure_domains", i)+".name")
		c.failureDomains[d.Name] = true
	}
	c.pools = map[string]*Pool{}
	poolNames := firstPaths{}
	for i := range c.bundle.Pools {
		p := &c.bundle.Pools[i]
		poolNames.checkUnique(c, p.Name, indexedPath("pools", i)+".name")
		c.pools[p.Name] = p
	}
	c.pipelines = map[string]bool{}
	pipelineNames := firstPaths{}
	for i, p := range c.bundle.Pipelines {
		pipelineNames.checkUnique(c, p.Name, indexedPath("pipelines", i)+".name")
		c.pipelines[p.Name] = true
	}
}

// checkAddress reports a problem unless text is an ip:port to which a client can
// connect: the port is not 0 and the IP address is not unspecified.
func (c *checker) checkAddress(text, path string) {
	address, err := netip.ParseAddrPort(text)
	if err == nil && address.Port() != 0 && !address.Addr().IsUnspecified() {
		return
	}
	if !c.HasProblemAt(path) {
		c.AddProblem(path, "must be an address in the form ip:port")
	}
}

// checkFailureDomain reports a problem if no failure domain has that name.
func (c *checker) checkFailureDomain(name, path string) {
	if name != "" && !c.failureDomains[name] {
		c.AddProblem(path, "no failure domain is named %q", name)
	}
}

func (c *checker) checkObjective() {
	if c.bundle.Objective.Attainment == 0 && c.bundle.Objective.CostByStage == 0 && !c.HasProblemAt("objective") {
		c.AddProblem("objective", "one of attainment and cost_by_stage must be above 0")
	}
}

func (c *checker) checkHosts() {
	names, addresses := firstPaths{}, firstPaths{}
	for i, h := range c.bundle.Hosts {
		path := indexedPath("hosts", i)
		names.checkUnique(c, h.Name, path+".name")
		addresses.checkUnique(c, h.PeerAddress, path+".peer_address")
		c.checkAddress(h.PeerAddress, path+".peer_address")
		if !h.EndedAt.IsZero() {
			c.AddProblem(path+".ended_at", "is allowed only for hosts in views")
		}
		c.checkFailureDomain(h.FailureDomain, path+".failure_domain")
	}
}

// checkViews checks that the previous host lists are ordered newest first and
// have epochs below the bundle's version, since there are never more host lists
// than bundle versions. Their failure domains are not checked, because these may
// have been removed since.
func (c *checker) checkViews() {
	newer := c.bundle.Version
	for i, v := range c.bundle.Views {
		path := indexedPath("views", i)
		if v.Version >= newer {
			c.AddProblem(path+".version", "%d is not below %d: views must be ordered newest first, with versions below the bundle's", v.Version, newer)
		}
		newer = v.Version
		names := firstPaths{}
		for j, h := range v.Hosts {
			names.checkUnique(c, h.Name, indexedPath(path+".hosts", j)+".name")
		}
	}
}

func (c *checker) checkClaims() {
	p := c.bundle.Claims
	switch {
	case p.GroupSize < 1:
		c.AddProblem("claims.group_size", "must be 1 or more")
	case p.GroupSize%2 == 0:
		c.AddProblem("claims.group_size", "%d is even: it tolerates no more failures than %d", p.GroupSize, p.GroupSize-1)
	case p.GroupSize > len(c.bundle.Hosts):
		c.AddProblem("claims.group_size", "%d is more than the number of hosts (%d)", p.GroupSize, len(c.bundle.Hosts))
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

// checkPools checks the pools. The names and addresses of upstreams must be unique
// across all pools, because the platform's host list identifies an upstream
// without its pool.
func (c *checker) checkPools() {
	names, addresses := firstPaths{}, firstPaths{}
	for i, p := range c.bundle.Pools {
		path := indexedPath("pools", i)
		c.checkPoolKind(p, path)
		adapterNames := firstPaths{}
		for j, a := range p.Adapters {
			adapterNames.checkUnique(c, a, indexedPath(path+".adapters", j))
		}
		for j, u := range p.Upstreams {
			upstream := indexedPath(path+".upstreams", j)
			names.checkUnique(c, u.Name, upstream+".name")
			addresses.checkUnique(c, u.Address, upstream+".address")
			c.checkAddress(u.Address, upstream+".address")
			c.checkFailureDomain(u.FailureDomain, upstream+".failure_domain")
		}
	}
}

func (c *checker) checkPoolKind(p Pool, path string) {
	if p.Kind == PoolEngine && p.Model == "" {
		c.AddProblem(path+".model", "is required for an engine pool")
	}
	if p.Kind != PoolService {
		return
	}
	if p.Model != "" || p.Version != "" || len(p.Adapters) > 0 || p.Role != "" {
		c.AddProblem(path, "model, model_version, adapters and role are allowed only for engine pools")
	}
}

func (c *checker) checkPipelines() {
	for i, p := range c.bundle.Pipelines {
		path := indexedPath("pipelines", i)
		c.checkDeadline(p, path)
		names := firstPaths{}
		for j, s := range p.Stages {
			stage := indexedPath(path+".stages", j)
			names.checkUnique(c, s.Name, stage+".name")
			c.checkStage(s, stage)
		}
	}
}

// checkDeadline checks that the expected durations of the stages fit into the
// deadline and, if a stage is non-repeatable, that the deadline passes before the
// claim's retention ends.
func (c *checker) checkDeadline(p Pipeline, path string) {
	var expected time.Duration
	nonRepeatable := false
	for _, s := range p.Stages {
		expected += s.Expected
		nonRepeatable = nonRepeatable || s.NonRepeatable
	}
	if p.Deadline > 0 && expected > p.Deadline {
		c.AddProblem(path+".deadline", "%s cannot be met: the stages are expected to take %s", p.Deadline, expected)
	}
	claims := c.bundle.Claims
	if nonRepeatable && p.Deadline+claims.MaxClockSkew+claims.MaxKeyAhead >= claims.Retention {
		c.AddProblem(path+".deadline", "%s with max_clock_skew and max_key_ahead is not below claims.retention (%s), "+
			"so a claim could expire while its request is still running", p.Deadline, claims.Retention)
	}
}

func (c *checker) checkStage(s Stage, path string) {
	if s.NonRepeatable && s.Kind != StageCall {
		c.AddProblem(path+".non_repeatable", "only a stage of kind call can be non-repeatable; this stage is of kind %s", s.Kind)
	}
	if s.MaxTokens > 0 && s.Kind != StageGenerate {
		c.AddProblem(path+".max_tokens", "is allowed only for stages of kind generate")
	}
	if s.Path != "" && !strings.HasPrefix(s.Path, "/") {
		c.AddProblem(path+".path", "must start with /")
	}
	if s.Path != "" && s.Kind == StageGenerate {
		c.AddProblem(path+".path", "is allowed only for stages that call services")
	}
	pool, known := c.pools[s.Pool]
	switch {
	case s.Pool == "":
	case !known:
		c.AddProblem(path+".pool", "no pool is named %q", s.Pool)
	case s.Kind == StageGenerate && pool.Kind != PoolEngine:
		c.AddProblem(path+".pool", "a generate stage requires an engine pool; %q is of kind %s", s.Pool, pool.Kind)
	case s.Kind != StageGenerate && pool.Kind != PoolService:
		c.AddProblem(path+".pool", "a stage of kind %s requires a service pool; %q is of kind %s", s.Kind, s.Pool, pool.Kind)
	}
}

func (c *checker) checkCustomers() {
	names, hashes := firstPaths{}, firstPaths{}
	for i, customer := range c.bundle.Customers {
		path := indexedPath("customers", i)
		names.checkUnique(c, customer.Name, path+".name")
		for j, hash := range customer.KeyHashes {
			c.checkKeyHash(hashes, hash, indexedPath(path+".key_hashes", j))
		}
		pipelineNames := firstPaths{}
		for j, name := range customer.Pipelines {
			pipeline := indexedPath(path+".pipelines", j)
			pipelineNames.checkUnique(c, name, pipeline)
			if name != "" && !c.pipelines[name] {
				c.AddProblem(pipeline, "no pipeline is named %q", name)
			}
		}
	}
}

// checkKeyHash reports a key hash that is used more than once across all
// customers. Hashes are compared case-insensitively, and messages contain only
// their first digits.
func (c *checker) checkKeyHash(hashPaths firstPaths, hash, path string) {
	hash = strings.ToLower(hash)
	if first, seen := hashPaths[hash]; seen {
		c.AddProblem(path, "key hash %s is already used by %s", shortHash(hash), first)
		return
	}
	hashPaths[hash] = path
}

// shortHashDigits is the number of digits of a key hash that may be displayed.
const shortHashDigits = 8

func shortHash(hash string) string {
	if len(hash) <= shortHashDigits {
		return hash
	}
	return hash[:shortHashDigits] + "..."
}
