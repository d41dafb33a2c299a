package control

import (
	"context"
	"encoding/json"
	"io/fs"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/clock"
	"celeryport/evacuation"
	"celeryport/event"
	"celeryport/membership"
	"celeryport/upstream"
)

// rememberedFile holds the fleet as an instance knew it before a restart.
const rememberedFile = "fleet"

// rememberInterval is the interval at which an instance checks whether the fleet has
// changed since it wrote the file.
const rememberInterval = time.Second

// remembered is the last known fleet. When all instances are killed at once, those with a
// disk send it to the others until there is a leader: without it no request could be
// served for some seconds, although all engines are running.
type remembered struct {
	Instances []membership.Instance   `json:"instances"`
	Upstreams []upstream.Announcement `json:"upstreams"`
	Evacuated *evacuation.List        `json:"evacuated,omitempty"`
}

// runRemember writes the file whenever the fleet has changed. It runs outside the control
// goroutine, which must not wait for another disk sync.
func (n *Node) runRemember(ctx context.Context) error {
	folder := n.core.installed.folder
	if folder.path == "" {
		return nil
	}
	var written []byte
	failed := false
	for clock.Pause(ctx, rememberInterval) {
		data, err := json.Marshal(rememberedOf(n.View()))
		if err != nil {
			return errors.Wrap(err, "encode the remembered fleet")
		}
		if slices.Equal(data, written) {
			continue
		}
		if err := folder.write(rememberedFile, data); err != nil {
			if !failed {
				eventFleetStoreFailed.Log(n.log, event.Fields{"error": err})
			}
			failed = true
			continue
		}
		written, failed = data, false
	}
	return ctx.Err()
}

// rememberedOf returns the fleet of a view without the fields that change all the time.
func rememberedOf(v *View) remembered {
	r := remembered{Evacuated: v.Evacuated}
	for _, i := range v.Instances {
		if i.State == membership.Live {
			i.Revision, i.Evacuated = 0, 0
			r.Instances = append(r.Instances, i)
		}
	}
	for i := range v.Upstreams.Upstreams {
		a := v.Upstreams.Upstreams[i].Announcement
		if !a.Leaving {
			a.Sequence, a.Load, a.ColdFor = 0, upstream.Load{}, 0
			r.Upstreams = append(r.Upstreams, a)
		}
	}
	return r
}

// loadRemembered loads the fleet from before a restart. Upstreams count as silent until
// they announce themselves; a leader drops instances that do not sync with it.
func (c *core) loadRemembered(now time.Time) error {
	folder := c.installed.folder
	if folder.path == "" {
		return nil
	}
	data, err := folder.read(rememberedFile)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	var r remembered
	if err == nil {
		err = json.Unmarshal(data, &r)
	}
	if err != nil {
		eventFleetStoreFailed.Log(c.log, event.Fields{"error": err})
		return nil //nolint:nilerr // it only helps for the first seconds; everything is announced again
	}
	c.addRemembered(now, &r)
	return nil
}

func (c *core) addRemembered(now time.Time, r *remembered) {
	for _, a := range r.Upstreams {
		c.known.ApplyRelayed(now, upstream.Relayed{Announcement: a, Age: c.freshFor() + time.Second})
	}
	c.members.addUnknown(now, r.Instances)
	c.applyEvacuated(now, r.Evacuated)
	c.views.dirty()
}
