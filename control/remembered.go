package control

import (
	"context"
	"encoding/json"
	"io/fs"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/clock"
	"celeryport/event"
	"celeryport/membership"
	"celeryport/upstream"
)

// rememberedFile holds what an instance knew of the fleet before a restart.
const rememberedFile = "fleet"

// rememberInterval is how often an instance looks whether the fleet has changed
// since it wrote the file.
const rememberInterval = time.Second

// remembered is who was in the fleet. When all instances are killed at once, the
// ones with a disk tell it to the others until there is a leader: without it no
// call could be served for some seconds, although all engines are there.
type remembered struct {
	Instances []membership.Instance   `json:"instances"`
	Upstreams []upstream.Announcement `json:"upstreams"`
}

// runRemember writes the file whenever the fleet has changed, beside the control
// goroutine, which must not wait for one more sync of the disk.
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
			return errors.Wrap(err, "encode what is remembered")
		}
		if slices.Equal(data, written) {
			continue
		}
		if err := folder.write(rememberedFile, data); err != nil {
			if !failed {
				eventRememberFailed.Log(n.log, event.Fields{"error": err})
			}
			failed = true
			continue
		}
		written, failed = data, false
	}
	return ctx.Err()
}

// rememberedOf leaves out what changes all the time.
func rememberedOf(v *View) remembered {
	var r remembered
	for _, i := range v.Instances {
		if i.State == membership.Live {
			i.Revision = 0
			r.Instances = append(r.Instances, i)
		}
	}
	for i := range v.Upstreams.Upstreams {
		a := v.Upstreams.Upstreams[i].Announcement
		if !a.Leaving {
			a.Sequence, a.Load = 0, upstream.Load{}
			r.Upstreams = append(r.Upstreams, a)
		}
	}
	return r
}

// recall takes in what was remembered before a restart. Upstreams count as silent
// until they are heard; a leader that does not hear of an instance drops it.
func (c *core) recall(now time.Time) error {
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
		eventRememberFailed.Log(c.log, event.Fields{"error": err})
		return nil //nolint:nilerr // it only helps for the first seconds; everything is heard again
	}
	c.takeRemembered(now, &r)
	return nil
}

func (c *core) takeRemembered(now time.Time, r *remembered) {
	for _, a := range r.Upstreams {
		c.known.HearRelayed(now, upstream.Relayed{Announcement: a, Age: c.freshFor() + time.Second})
	}
	c.members.assume(now, r.Instances)
	c.views.dirty()
}
