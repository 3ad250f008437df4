package steer

import (
	"math"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/feed"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/placing"
	"github.com/tamarackswitch/tamarackswitch/pkg/fleet"
)

const (
	// maxCount is above any number of requests or slots that a host reports of
	// one server or region.
	maxCount = 1 << 24
	// maxMessageDuration is above any duration in a message.
	maxMessageDuration = 24 * time.Hour
)

// check returns an error if the datagram has a value outside its range. Such a
// datagram comes from a faulty or foreign program and is ignored as a whole,
// because a part of it could not be trusted either.
func (d *datagram) check() error {
	if d.From == "" {
		return errors.New("the datagram has no sender")
	}
	if d.Beacon != nil {
		if err := d.Beacon.check(); err != nil {
			return err
		}
	}
	if d.SlotReply != nil {
		if err := d.SlotReply.check(); err != nil {
			return err
		}
	}
	for i := range d.Completions {
		if err := d.Completions[i].check(); err != nil {
			return err
		}
	}
	for i := range d.Report {
		if err := d.Report[i].check(); err != nil {
			return err
		}
	}
	for i := range d.Joined {
		if err := d.Joined[i].Validate(); err != nil {
			return err
		}
	}
	return nil
}

func (b *beacon) check() error {
	if b.Host != nil {
		if err := b.Host.Validate(); err != nil {
			return err
		}
	}
	for _, p := range b.changePositions() {
		if p.Era < 0 || p.Revision < 0 {
			return errors.Errorf("beacon with the position %s", p)
		}
	}
	if b.Held < 0 || b.Held > maxCount {
		return errors.Errorf("beacon with %d servers held", b.Held)
	}
	return checkCounts(b.Loads)
}

func (r *slotReply) check() error {
	switch {
	case r.Verdict < placing.Send || r.Verdict > placing.NoServer:
		return errors.Errorf("slot reply with the unknown verdict %d", r.Verdict)
	case !r.Class.Valid():
		return errors.Errorf("slot reply with the unknown reuse class %d", r.Class)
	case r.Expected < 0 || r.Service < 0 || r.Service > maxMessageDuration:
		return errors.Errorf("slot reply with the times %s and %s", r.Expected, r.Service)
	case !(r.Load >= 0 && r.Load <= maxCount): // also true for NaN
		return errors.Errorf("slot reply with the load %v", r.Load)
	}
	return nil
}

func (c *completion) check() error {
	switch {
	case c.Outcome < placing.Answered || c.Outcome > placing.Abandoned:
		return errors.Errorf("completion with the unknown outcome %d", c.Outcome)
	case c.Running < 0 || c.Running > maxCount || c.Waiting < 0 || c.Waiting > maxCount:
		return errors.Errorf("completion with the load %d running, %d waiting", c.Running, c.Waiting)
	case c.WorkPercent < 0 || c.WorkPercent > maxLoadFigure:
		return errors.Errorf("completion with work at %d percent", c.WorkPercent)
	}
	return nil
}

func (r *report) check() error {
	if !(r.Report.Pressure >= 0 && r.Report.Pressure <= maxCount) || r.Report.Slots < 0 || r.Report.Slots > maxCount {
		return errors.Errorf("report with the pressure %v of %d slots", r.Report.Pressure, r.Report.Slots)
	}
	if err := checkCounts(r.Report.Loads); err != nil {
		return err
	}
	return checkCounts(r.Report.Sent)
}

func checkCounts(counts map[string]int) error {
	for server, n := range counts {
		if n < 0 || n > maxCount {
			return errors.Errorf("%d requests at server %.64q", n, server)
		}
	}
	return nil
}

// check returns an error if the ages are outside their range, and takes out the
// entries that Validate refuses: the host that sent the copy may be of a version that
// accepts them, and the others have to be followed.
func (a *feedAnswer) check() error {
	const maxMS = math.MaxInt64 / int64(time.Millisecond)
	if a.AgeMS < 0 || a.AgeMS > maxMS || a.SinceOutageMS < 0 || a.SinceOutageMS > maxMS {
		return errors.Errorf("copy of age %d ms, %d ms after an outage", a.AgeMS, a.SinceOutageMS)
	}
	a.Hosts = slices.DeleteFunc(a.Hosts, func(h fleet.EntryHost) bool { return h.Validate() != nil })
	for _, c := range a.Changes {
		if c == nil {
			continue
		}
		if c.Era < 0 || c.Revision < 0 {
			return errors.Errorf("changes up to the position %s", c.Position())
		}
		takeOutInvalid(c)
	}
	if a.Table != nil && a.Table.Validate() != nil {
		a.Table = nil
	}
	return nil
}

// takeOutInvalid takes out the items that Validate refuses. As in a list of the
// store, an invalid server counts as removed, and invalid tables leave the last ones
// in force.
func takeOutInvalid(c *feed.Changes) {
	valid := c.Items[:0]
	for _, item := range c.Items {
		switch {
		case item.Table != nil && item.Table.Validate() != nil:
			c.Keep = append(c.Keep, item.Name)
			continue
		case item.Server != nil && item.Server.Validate() != nil:
			item.Server, item.Deleted = nil, true
		}
		valid = append(valid, item)
	}
	c.Items = valid
}
