package measure

import (
	"errors"
	"slices"
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/once"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/rendezvous"
	"github.com/tamarackswitch/tamarackswitch/pkg/platform"
	"github.com/tamarackswitch/tamarackswitch/pkg/result"
)

// onceByKey is the system's way: the key names its owner.
type onceByKey struct{ f *onceFleet }

func (d *onceByKey) changed(onceChange) {}

func (d *onceByKey) attempt(w *onceWork, entry *onceProc) onceAnswer {
	self := once.Host{Identity: entry.id, Reachable: true, Holds: entry.owner.Holds()}
	target, err := once.Resolve(self, w.key, d.view(entry.host, w.owner))
	if err != nil {
		return onceAnswer{err: err}
	}
	at := entry
	if !target.Local {
		// The receiver checks its own incarnation.
		at = d.f.byName[target.Relay.Host].proc
		if !at.alive || d.f.isCut(entry.host.region, at.host.region) {
			return onceAnswer{err: unreachableOwner()}
		}
	}
	start, err := at.owner.Begin(d.f.Now(), once.Request{Key: w.key})
	if err != nil || !start.Run {
		return onceAnswer{err: err}
	}
	return onceAnswer{runner: at}
}

func unreachableOwner() error {
	return result.New(result.KeyOwnerUnreachable, "the relay found nobody").WithRun(result.Unknown)
}

// view lists what o knows of the key's host and of the holders of its keys.
func (d *onceByKey) view(o *onceHost, owner *onceProc) []once.Host {
	p, up := d.f.seenBy(o, owner.host)
	out := []once.Host{{Identity: p.id, Reachable: up && !d.f.looksCut(o, p.host), Removed: !up}}
	for p := owner; p.successor != nil; p = p.successor {
		lag := d.f.lag(o, p.successor.host, 1<<18)
		if d.f.Now().Before(p.handedOver.Add(lag)) {
			break
		}
		known, up := d.f.seenBy(o, p.successor.host)
		if known == p.successor && p.successor.successor == nil {
			out = append(out, once.Host{Identity: known.id, Removed: !up,
				Reachable: up && !d.f.looksCut(o, known.host), Holds: []once.Identity{owner.id}})
		}
	}
	return out
}

func (d *onceByKey) finished(w *onceWork, a onceAnswer, state once.State) {
	if err := a.runner.owner.Finish(d.f.Now(), w.key, once.Outcome{State: state}); err != nil {
		panic(err)
	}
	if late, ok := a.runner.owner.TakeLate(d.f.Now()); ok {
		d.importChunk(a.runner, late)
	}
}

func (d *onceByKey) leaving(p *onceProc) {
	to := d.f.successorOf(p)
	if to == nil {
		return
	}
	chunks, err := p.owner.Export(d.f.Now(), to.id)
	if err != nil {
		panic(err)
	}
	p.successor, p.handedOver = to, d.f.Now()
	for _, c := range chunks {
		d.f.stats.moved += len(c.Records)
		d.importChunk(p, c)
	}
}

func (d *onceByKey) importChunk(from *onceProc, c once.Chunk) {
	to := from.successor
	d.f.After(onceTransfer, func() {
		if to.alive {
			// A successor that has left meanwhile refuses, and the keys end.
			_ = to.owner.Import(d.f.Now(), c)
		}
	})
}

// onceByView chooses the owner by rendezvous hashing over the hosts that the
// entry host sees.
type onceByView struct{ f *onceFleet }

func (d *onceByView) owner(o *onceHost, key string) *onceProc {
	best, bestWeight := (*onceProc)(nil), uint64(0)
	for _, x := range d.f.hosts {
		p, up := d.f.seenBy(o, x)
		if !up || d.f.looksCut(o, x) {
			continue
		}
		if w := rendezvous.Weight(key, x.name); best == nil || w > bestWeight {
			best, bestWeight = p, w
		}
	}
	return best
}

func (d *onceByView) attempt(w *onceWork, entry *onceProc) onceAnswer {
	at := d.owner(entry.host, w.key.Text)
	if at == nil || !at.alive || d.f.isCut(entry.host.region, at.host.region) {
		return onceAnswer{err: unreachableOwner()}
	}
	if _, ok := at.seen[w.key.Text]; ok {
		return onceAnswer{}
	}
	at.seen[w.key.Text] = d.f.Now()
	d.f.After(onceRetention, func() { delete(at.seen, w.key.Text) })
	return onceAnswer{runner: at}
}

func (d *onceByView) finished(w *onceWork, a onceAnswer, state once.State) {
	if state == once.NotRun {
		delete(a.runner.seen, w.key.Text)
	}
}

// leaving hands every record to its next owner.
func (d *onceByView) leaving(p *onceProc) {
	for _, key := range onceKeys(p.seen) {
		best, bestWeight := (*onceProc)(nil), uint64(0)
		for _, x := range d.f.hosts {
			if w := rendezvous.Weight(key, x.name); x != p.host && x.proc.alive && (best == nil || w > bestWeight) {
				best, bestWeight = x.proc, w
			}
		}
		d.move(p, best, key)
	}
}

func (d *onceByView) move(from, to *onceProc, key string) {
	at := from.seen[key]
	if d.f.Now().Sub(at) > onceRetention {
		return
	}
	d.f.stats.moved++
	d.f.After(onceTransfer, func() { to.seen[key] = at })
}

// changed lets every host that notices a start move the records that now
// belong to the new process.
func (d *onceByView) changed(c onceChange) {
	if !c.up || len(d.f.hosts) < onceHosts {
		return
	}
	i := len(c.proc.host.history) - 1
	for _, o := range d.f.hosts {
		if o == c.proc.host {
			continue
		}
		d.f.After(d.f.lag(o, c.proc.host, i), func() {
			for _, key := range onceKeys(o.proc.seen) {
				grown := rendezvous.Weight(key, c.proc.host.name) > rendezvous.Weight(key, o.name)
				if grown && d.owner(o, key) == c.proc {
					d.move(o.proc, c.proc, key)
				}
			}
		})
	}
}

func onceKeys(m map[string]time.Time) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// onceByStore creates an object of the platform per key.
type onceByStore struct {
	f       *onceFleet
	objects map[string]platform.Object
	version int64
}

func (d *onceByStore) changed(onceChange)  {}
func (d *onceByStore) leaving(p *onceProc) {}

// call carries out an action; one in a hundred answers is lost.
func (d *onceByStore) call(from *onceProc, a once.StoreAction) once.StoreResult {
	now := d.f.Now()
	if !now.Before(d.f.downFrom) && now.Before(d.f.downTo) {
		return once.StoreResult{Err: platform.ErrUnavailable}
	}
	// The platform's store is in region 1.
	if d.f.isCut(from.host.region, 1) {
		return once.StoreResult{Err: errors.New("no connection")}
	}
	old := d.objects[a.Key]
	switch {
	case a.Verb == once.StoreGet && old.Version == 0:
		return once.StoreResult{Err: platform.ErrNotFound}
	case a.Verb == once.StoreGet:
		return once.StoreResult{Object: old}
	}
	d.f.stats.writes++
	if old.Version != a.IfVersion {
		return once.StoreResult{Err: platform.ErrConflict}
	}
	d.version++
	d.objects[a.Key] = platform.Object{Key: a.Key, Version: d.version, Value: a.Value}
	if d.f.Rand.IntN(100) == 0 {
		return once.StoreResult{Err: errors.New("answer lost")}
	}
	return once.StoreResult{Object: d.objects[a.Key]}
}

func (d *onceByStore) attempt(w *onceWork, entry *onceProc) onceAnswer {
	op, step := entry.store.Begin(d.f.Now(), once.Request{Key: once.Key{Text: w.key.Text, Opaque: true}})
	for step.Action != nil {
		step = op.Next(d.f.Now(), d.call(entry, *step.Action))
	}
	if !step.Run {
		return onceAnswer{err: step.Err}
	}
	return onceAnswer{runner: entry, op: op}
}

func (d *onceByStore) finished(w *onceWork, a onceAnswer, state once.State) {
	if action := a.runner.store.Finish(d.f.Now(), a.op, once.Outcome{State: state}); action != nil {
		d.call(a.runner, *action)
	}
}
