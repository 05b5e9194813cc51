package stage

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/wheatseam/wheatseam/core/fairshare"
)

// While a service is short of capacity, jobs of customers that have had their share of it
// are refused on arrival (Config.FairShares), before the queue is so long that jobs of all
// customers would be late. The rest of the jobs' slack, a tenth to a half, is left to
// customers below their share. Admitted jobs are never dropped for fairness: dropped after they were
// started, they waste their calls and the memory of their results.

const (
	// usableMemoryShare is the share of the result memory that can be in use on average
	// while calls find memory for their results.
	usableMemoryShare = 0.9
	// memorySampleInterval is the shortest time between two samples of the used memory, and
	// maxMemorySample the longest time for which a sample counts.
	memorySampleInterval = 25 * time.Millisecond
	maxMemorySample      = 200 * time.Millisecond
	// shareReportInterval is the time over which refusals are reported together.
	shareReportInterval = time.Second
	// maxReportedCustomers bounds the customers that one report names.
	maxReportedCustomers = 10
)

// serviceShares is the state of a service's fair shares.
type serviceShares struct {
	table  *fairshare.Table
	memory memoryUse
	// refused counts the jobs refused for their customers' shares since the last report, by
	// customer.
	refused map[string]int
}

// memoryUse measures how much result memory the work of a service takes. Both sums decay
// with a time constant of fairshare.Window.
type memoryUse struct {
	sampledAt time.Time
	// byteSeconds is the integral of the used memory over time, and work the time that the
	// calls started in that time take of their replicas, in seconds.
	byteSeconds, work float64
	// total is the memory that this planner's results may take, as of sampledAt.
	total float64
}

// SharesExceeded reports jobs of one service that were refused within about a second since
// their customers had had their shares.
type SharesExceeded struct {
	Service string
	// Refused has the customers with the most refused jobs, at most maxReportedCustomers.
	Refused []CustomerRefusals
	// Others is the number of further customers.
	Others int
}

// CustomerRefusals is the number of a customer's jobs that were refused.
type CustomerRefusals struct {
	Customer string
	Jobs     int
}

func (SharesExceeded) isAction() {}

// shareRequest returns what the job asks of the service of stage i, in all stages that use
// it. ok is false unless i is the first such stage.
func (j *job) shareRequest(i int) (r fairshare.Request, ok bool) {
	s, pieces := j.stages[i].service, 0
	for k := range j.stages {
		if st := &j.stages[k]; st.remaining > 0 && st.service == s {
			if k < i {
				return r, false
			}
			pieces += st.remaining
		}
	}
	return fairshare.Request{
		Account: fairshare.Account{Customer: j.Customer, Priority: j.Rank.Customer}, Kind: j.Rank.Route,
		Work: float64(pieces) * s.pieceSeconds(),
	}, pieces > 0
}

// pieceSeconds returns the time that a piece takes of a replica in a full call.
func (s *service) pieceSeconds() float64 {
	return s.callTime(s.params.Batch).Seconds() / float64(max(1, s.params.Batch))
}

// askShares records what an arriving job asks for.
func (m *Machine) askShares(now time.Time, j *job) {
	if !m.charged(j) {
		return
	}
	for i := range j.stages {
		if r, ok := j.shareRequest(i); ok {
			s := j.stages[i].service
			j.shareTable(s).Ask(now, r)
			if m.cfg.FairShares {
				s.sampleMemory(now)
			}
		}
	}
}

// shareTable returns the service's table of shares, which is created when it is first needed.
func (s *service) shareTable() *fairshare.Table {
	if s.shares.table == nil {
		s.shares.table = fairshare.New()
	}
	return s.shares.table
}

// admitShares records an admitted job.
func (m *Machine) admitShares(now time.Time, j *job) {
	if !m.charged(j) {
		return
	}
	for i := range j.stages {
		if r, ok := j.shareRequest(i); ok {
			j.shareTable(j.stages[i].service).Admit(now, r)
		}
	}
}

// noteOverload records that a job is refused for overload, and names the service that is
// short of capacity. One that goes ahead of new work is refused for want of time: that doesn't show
// that the service is short for new work.
func (m *Machine) noteOverload(now time.Time, j *job, refusal *Refused) *Refused {
	if !m.charged(j) {
		return refusal
	}
	s := m.bottleneck(j)
	if s != nil {
		refusal.Service = s.name
		if !j.preferred {
			s.shareTable().NoteOverload(now)
		}
	}
	m.withdrawShares(now, j, s)
	return refusal
}

// withdrawShares takes back what the job asked for at the services other than the one that
// it is refused for.
func (m *Machine) withdrawShares(now time.Time, j *job, refusedFor *service) {
	if !m.charged(j) {
		return
	}
	for i := range j.stages {
		if r, ok := j.shareRequest(i); ok && j.stages[i].service != refusedFor {
			j.shareTable(j.stages[i].service).Withdraw(now, r)
		}
	}
}

// checkShares returns a refusal if a service that the job needs is short of capacity and
// the job's customer has had its share of it. The job has been predicted.
func (m *Machine) checkShares(now time.Time, j *job, allowed time.Duration) *Refused {
	if !m.cfg.FairShares || j.resumable(now) || j.preferred {
		return nil
	}
	shortest, _ := j.minTime()
	waitShare := float64(j.expected-shortest) / float64(max(1, allowed-shortest))
	var longest *service
	if waitShare > fairshare.MinWaitShare {
		longest = m.bottleneck(j)
	}
	for i := range j.stages {
		r, ok := j.shareRequest(i)
		if !ok {
			continue
		}
		s := j.stages[i].service
		share := 0.0
		if s == longest {
			share = waitShare
		}
		v := s.shares.table.Decide(now, r, s.newWorkCapacity(now), share)
		if v.Refused() {
			m.reportShare(now, s, j.Customer)
			m.withdrawShares(now, j, s)
			return &Refused{
				Job: j.ID, Reason: ReasonOverShare, RetryAfter: max(v.Wait, m.cfg.MinRetryAfter), Predicted: j.expected,
				Service: s.name, Share: v.Ratio(),
			}
		}
	}
	return nil
}

// bottleneck returns the service at which a job would wait longest, by the prediction that
// was just made; nil if it would wait nowhere.
func (m *Machine) bottleneck(j *job) *service {
	var ends [maxStages]time.Duration
	var longest time.Duration
	var at *service
	for i := range j.stages {
		var start time.Duration
		for _, a := range j.Stages[i].DependsOn {
			start = max(start, ends[a])
		}
		ends[i] = start
		st := &j.stages[i]
		if st.remaining == 0 {
			continue
		}
		wait := st.service.drainTimeAt(st.service.capacity, st.service.backlog.countUpTo(j.effectiveDue)) - start
		if wait > longest {
			longest, at = wait, st.service
		}
		ends[i] = start + max(0, wait) + st.service.callTime(min(st.remaining, st.service.params.Batch))
	}
	return at
}

// windowCapacity returns the work that the usable replicas can execute within
// fairshare.Window with the result memory that is free, in seconds, as of the last
// prediction.
func (s *service) windowCapacity() float64 {
	return fairshare.Window.Seconds() * min(s.capacity*s.pieceSeconds(), s.shares.memory.capacity())
}

// capacity returns the work that can be started per second if all usable memory is in use,
// in seconds: the measured rate of work divided by the share of the memory that it takes.
func (u *memoryUse) capacity() float64 {
	if u.byteSeconds <= 0 || u.work <= 0 || u.total <= 0 {
		return math.Inf(1)
	}
	return usableMemoryShare * u.total * u.work / u.byteSeconds
}

// sampleMemory updates the memory use. The used memory is assumed not to have changed since
// the last sample.
func (s *service) sampleMemory(now time.Time) {
	u := &s.shares.memory
	age := now.Sub(u.sampledAt)
	if s.params.ResultCapacityBytes == 0 || age < max(memorySampleInterval, s.scanPause()) {
		return
	}
	var used int64
	u.total = 0
	for _, r := range s.replicas {
		if r.usable(now) {
			used += r.usedBytes
			u.total += float64(max(0, s.params.ResultCapacityBytes-r.currentForeignBytes(now)))
		}
	}
	decay := math.Exp(-age.Seconds() / fairshare.Window.Seconds())
	u.byteSeconds = decay*u.byteSeconds + float64(used)*min(age, maxMemorySample).Seconds()
	u.work *= decay
	u.sampledAt = now
}

// noteStarted counts the pieces of a started call.
func (s *service) noteStarted(pieces int) {
	if s.shares.table != nil {
		s.shares.memory.work += float64(pieces) * s.pieceSeconds()
	}
}

// reportShare has a refusal reported with others.
func (m *Machine) reportShare(now time.Time, s *service, customer string) {
	if s.shares.refused == nil {
		s.shares.refused = map[string]int{}
	}
	s.shares.refused[customer]++
	m.nextShareReport.schedule(now.Add(shareReportInterval))
}

// reportShares reports the refusals of the last interval.
func (m *Machine) reportShares(now time.Time) {
	if !m.nextShareReport.due(now) {
		return
	}
	for _, s := range m.sortedServices {
		if len(s.shares.refused) == 0 {
			continue
		}
		a := SharesExceeded{Service: s.name}
		for customer, n := range s.shares.refused {
			a.Refused = append(a.Refused, CustomerRefusals{Customer: customer, Jobs: n})
		}
		slices.SortFunc(a.Refused, func(x, y CustomerRefusals) int {
			return cmp.Or(cmp.Compare(y.Jobs, x.Jobs), cmp.Compare(x.Customer, y.Customer))
		})
		if n := len(a.Refused) - maxReportedCustomers; n > 0 {
			a.Refused, a.Others = a.Refused[:maxReportedCustomers], n
		}
		clear(s.shares.refused)
		m.emit(a)
	}
}

// Shares returns the state of the fair shares of each service for operators, with up to
// maxAccounts accounts for each; empty unless Config.FairShares is set.
func (m *Machine) Shares(now time.Time, maxAccounts int) map[string]fairshare.State {
	out := map[string]fairshare.State{}
	for _, s := range m.sortedServices {
		if s.shares.table != nil {
			out[s.name] = s.shares.table.Snapshot(now, maxAccounts)
		}
	}
	return out
}
