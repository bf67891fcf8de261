package soak

// This file runs a soak: its start, its events, the recovery and the audit.

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"weirwind/internal/standin/cluster"
	"weirwind/internal/standin/replicaset"
)

// Time bounds, as in the settings of the deployment's processes.
const (
	contactTime = 5 * time.Second
	applyTime   = 4 * time.Second
	graceTime   = 2*time.Second + 500*time.Millisecond // graceS, and a margin for a busy machine
	recoverTime = 12 * time.Second
	lossSlack   = 200 * time.Millisecond
	joinTime    = time.Second // from a new member's start until another one drains

	workTime       = 15 * time.Millisecond // execution time of a statement at a member
	initialMembers = 3
)

// Bounds on leaks: the open files that a process which has run throughout may have at the end beyond those at the
// start, and its goroutines at the end. Core machines have a link with each front.
func (s Shape) maxExtraFiles() int { return 60 + 2*s.Fronts }
func (s Shape) maxGoroutines() int { return 100 + 2*s.Fronts }

// run is the state of a running soak.
type run struct {
	t          *testing.T
	shape      Shape
	deployment *cluster.Deployment
	ledger     *ledger
	journal    *journal
	operators  *operators
	processes  *processTracker
	starved    *starvation
	members    atomic.Int64 // number of the newest member
	began      time.Time

	mu           sync.Mutex
	lines        []string      // the soak's own log
	missedBounds []missedBound // time bounds that were missed
	excused      []missedBound // missed bounds that are not counted, as the process was starved
}

// missedBound is a time bound that a process missed.
type missedBound struct {
	process   string
	from, to  time.Time
	invariant string
	text      string
}

// recordMissed records that a process missed a time bound, in a span that ends now. Whether the process was starved
// then is evaluated later.
func (r *run) recordMissed(process string, from time.Time, invariant, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.missedBounds = append(r.missedBounds,
		missedBound{process, from, time.Now(), invariant, fmt.Sprintf(format, args...)})
}

// evaluateMissedBounds counts the missed bounds of processes that were not starved as violations.
func (r *run) evaluateMissedBounds() {
	for _, o := range r.missedBounds {
		if r.starved.overlaps(o.process, o.from, o.to) {
			r.excused = append(r.excused, o)
		} else {
			r.ledger.violate(o.invariant, "%s (%s)", o.text, o.to.Format("15:04:05.000"))
		}
	}
}

// Result is the result of a soak.
type Result struct {
	Violations    string         // "" for none
	Operations    map[string]int // by kind and outcome
	Recovered     time.Duration  // from the end of the last event until everything was served
	Processes     int
	MemoryMB      int           // of all processes at the end
	MaxFiles      int           // highest number of a process at the end
	MaxGoroutines int           // highest number of a process at the end
	Changes       int           // number of acknowledged configuration changes
	Excused       []string      // time bounds that processes missed while they were starved
	Starved       time.Duration // how long the test's own process was starved
	Log           string
	ProcessLogs   map[string]string
}

// Run executes a schedule on a deployment of its own.
func Run(t *testing.T, s Schedule) Result {
	t.Helper()
	r := &run{t: t, shape: s.Shape, ledger: newLedger(), journal: &journal{}, processes: newProcessTracker(),
		began: time.Now(), starved: &starvation{spans: map[string][]span{}}}
	r.operators = &operators{run: r, random: rand.New(rand.NewPCG(s.Seed, 1))}
	r.members.Store(initialMembers - 1)
	r.start()
	if s.Shape.CoreCuts {
		r.makeLate()
	}
	before := r.resourceUse()

	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var watchers, clients sync.WaitGroup
	watchers.Go(func() { r.watchProcesses(ctx) })
	watchers.Go(func() { r.watchStarvation(ctx) })
	for n := range s.Shape.Fronts {
		watchers.Go(func() { r.watchVersions(ctx, n) })
	}
	for n := range s.Shape.Clients {
		c := r.newClient(s.Seed, n)
		clients.Go(func() { c.serve(ctx) })
	}
	r.play(ctx, s.Events)
	if s.Shape.LateEffects {
		r.setPromoteDelay(maxPromoteDelay) // recovery is judged with a platform that is well
	}
	result := Result{Recovered: r.recover(ctx, s.Seed)}
	stop()
	clients.Wait()
	watchers.Wait()
	r.audit(&result, before)
	return result
}

// start starts the deployment and sends the first configuration until it is accepted.
func (r *run) start() {
	if r.shape.CoreCuts {
		r.deployment = cluster.NewWithHeartbeats(r.t, r.shape.Cores, r.shape.Fronts, heartbeatPeriod)
	} else {
		r.deployment = cluster.New(r.t, r.shape.Cores, r.shape.Fronts)
	}
	service := r.deployment.Service
	service.With(func(*replicaset.Group) { service.Observer, service.WorkTime = r.ledger, workTime })
	for _, name := range r.deployment.Running() {
		r.processes.recordStart(name)
	}
	first := configuration(1, baseRoutes(), r.shape)
	r.deployment.Eventually("a configuration is accepted", func() bool {
		status, _ := r.deployment.Call("POST", r.deployment.Cores[0], "/config/replace", "0", first)
		return status == http.StatusOK
	})
	for n := range r.shape.Fronts {
		r.deployment.Eventually("a proxy is ready", func() bool { return r.deployment.Ready(n) })
	}
	r.began = time.Now()
}

// newClient returns the nth client; clients use the routes in turn.
func (r *run) newClient(seed uint64, n int) *client {
	random := rand.New(rand.NewPCG(seed, uint64(2+n)))
	return &client{run: r, random: random, name: fmt.Sprint("q", n), key: fmt.Sprint("k", n),
		route: routes[n%len(routes)], maxThinkTime: thinkTimes[random.IntN(len(thinkTimes))]}
}

func (r *run) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// play executes events, each at its time, and returns when all have ended.
func (r *run) play(ctx context.Context, events []Event) {
	var all sync.WaitGroup
	for _, e := range events {
		time.Sleep(time.Until(r.began.Add(e.At)))
		all.Go(func() { r.execute(ctx, e) })
	}
	all.Wait()
	r.logf("the last event has ended")
}

// recover waits until everything is served again, and returns how long that took.
func (r *run) recover(ctx context.Context, seed uint64) time.Duration {
	began := time.Now()
	var all sync.WaitGroup
	for n := range r.shape.Fronts {
		all.Go(func() {
			for i := range routes {
				r.awaitRoute(seed, n, i, began)
			}
		})
	}
	all.Go(func() { r.operators.makeChange(ctx, ChangeReplace) })
	all.Wait()
	took := time.Since(began)
	if took > recoverTime {
		r.recordMissed(testProcess, began, "recover", "everything was served %v after the last event", took)
	}
	r.awaitVersion(r.operators.ackedBefore(time.Now()))
	return took
}

// awaitRoute waits until a proxy is ready and serves a route, for at most twice recoverTime.
func (r *run) awaitRoute(seed uint64, front, nth int, began time.Time) {
	c := r.newClient(seed, r.shape.Clients+front*len(routes)+nth)
	c.route = routes[nth]
	for time.Since(began) < 2*recoverTime {
		if r.deployment.Ready(front) && c.attach(front) {
			served := c.isServed()
			_ = c.conn.Close()
			if served {
				return
			}
		}
		time.Sleep(redialDelay)
	}
	r.ledger.violate("recover", "%s doesn't serve route %s", proxyName(front), routes[nth].name)
}

// isServed reports whether a read, and on routes with writes a write, succeeds.
func (c *client) isServed() bool {
	if c.route.writes && (c.write() != nil || c.lastCommit == nil) {
		return false
	}
	id := c.nextID()
	answer, err := c.query(id, "FETCH "+c.key)
	return err == nil && strings.HasPrefix(answer, "DONE")
}

// awaitVersion waits until all proxies serve a version.
func (r *run) awaitVersion(version uint64) {
	end := time.Now().Add(applyTime)
	for n := range r.shape.Fronts {
		for {
			if got, ok := r.version(n); ok && got >= version {
				break
			}
			if time.Now().After(end) {
				r.recordMissed(proxyName(n), end.Add(-applyTime), "recover", "%s doesn't serve version %d after %v",
					proxyName(n), version, applyTime)
				break
			}
			time.Sleep(redialDelay)
		}
	}
}

// audit compares the final state with what was acknowledged, ends all processes, and completes the result.
func (r *run) audit(result *Result, before map[string]resources) {
	result.Processes = len(r.deployment.Running())
	if want := r.shape.Cores + 2*r.shape.Fronts; result.Processes != want {
		r.ledger.violate("growth", "%d processes run, not %d", result.Processes, want)
	}
	r.auditResources(result, before)
	showCtx, cancelShow := context.WithTimeout(context.Background(), changeTimeout)
	defer cancelShow()
	if last, ok := r.operators.readConfig(showCtx); ok {
		r.operators.audit(last)
		r.auditRefused(last)
	} else {
		r.ledger.violate("configuration", "no core machine returns the configuration")
	}
	r.auditService()
	r.countGoroutines(result)
	r.evaluateMissedBounds()
	for _, o := range r.excused {
		result.Excused = append(result.Excused, o.invariant+": "+o.text)
	}
	result.Starved = r.starved.total(testProcess)
	for _, c := range r.operators.changes {
		if !c.acked.IsZero() {
			result.Changes++
		}
	}
	result.Violations, result.Operations, result.Log = r.ledger.summary(), r.ledger.attempts, strings.Join(r.lines, "\n")
}

// auditService compares the members' logs with the answers to clients.
func (r *run) auditService() {
	service := r.deployment.Service
	service.With(func(group *replicaset.Group) {
		if leader := group.Leader(); leader != nil {
			r.ledger.auditLog(leader.Log, group.LostCommits)
		} else {
			r.ledger.violate("recover", "there is no primary")
		}
		for id, n := range service.Executions {
			if n > 1 {
				r.ledger.violate("twice", "%s took effect %d times", id, n)
			}
		}
		for _, id := range service.AfterDrain {
			r.ledger.violate("drain", "%s reached a member too long after its drain", id)
		}
	})
}

// auditRefused checks that no proxy serves a route of a change that was refused or replaced.
func (r *run) auditRefused(last document) {
	for n := range r.shape.Fronts {
		for _, change := range r.operators.changes {
			c := r.newClient(0, 0)
			c.route = route{name: change.marker}
			serves := c.attach(n)
			if serves {
				_ = c.conn.Close()
			}
			if serves && !strings.Contains(fmt.Sprint(last.markers()), change.marker+"]") {
				r.ledger.violate("configuration", "%s serves %s, which is not in force", proxyName(n), change)
			}
		}
	}
}

// auditResources compares the resources of processes that have run throughout with those at the start.
func (r *run) auditResources(result *Result, before map[string]resources) {
	time.Sleep(contactTime) // until idle connections of clients and broken links are closed
	for name, now := range r.resourceUse() {
		result.MaxFiles = max(result.MaxFiles, now.files)
		result.MemoryMB += now.memoryKB >> 10
		if r.processes.current(name) == 1 && now.files > before[name].files+r.shape.maxExtraFiles() {
			r.ledger.violate("growth", "%s has %d files open, %d at its start", name, now.files, before[name].files)
		}
	}
}

// countGoroutines ends all processes with SIGQUIT and counts the goroutines in their dumps.
func (r *run) countGoroutines(result *Result) {
	names := r.processes.running()
	for _, name := range names {
		r.processes.claimEnd(name)
		r.deployment.Signal(name, syscall.SIGQUIT)
	}
	result.ProcessLogs = map[string]string{}
	for _, name := range names {
		r.deployment.Await(name, graceTime)
		log := r.deployment.Log(name)
		result.ProcessLogs[name] = log
		count := goroutinesOf(log)
		result.MaxGoroutines = max(result.MaxGoroutines, count)
		if count > r.shape.maxGoroutines() {
			r.ledger.violate("growth", "%s has %d goroutines with no client left", name, count)
		}
	}
}
