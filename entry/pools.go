package entry

import (
	"github.com/panjf2000/ants/v2"

	"celeryport/request"
	"celeryport/settings"
)

// pools runs the sends. Long prompts, short prompts and service calls have separate
// pools: in one shared pool the streams of long prompts would occupy every worker,
// and short prompts would wait behind them.
type pools struct {
	short   *ants.Pool
	long    *ants.Pool
	service *ants.Pool
}

func newPools(sizes settings.Pools) (*pools, error) {
	p := &pools{}
	var err error
	for _, each := range []struct {
		pool **ants.Pool
		size int
	}{{&p.short, sizes.Short}, {&p.long, sizes.Long}, {&p.service, sizes.Service}} {
		if *each.pool, err = ants.NewPool(each.size, ants.WithNonblocking(true)); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// submit runs work in the pool for the request, or returns an error immediately if
// that pool is full.
func (p *pools) submit(r *request.Request, work func()) error {
	switch {
	case r.Kind == request.ServiceCall:
		return p.service.Submit(work)
	case r.Long:
		return p.long.Submit(work)
	default:
		return p.short.Submit(work)
	}
}

func (p *pools) release() {
	p.short.Release()
	p.long.Release()
	p.service.Release()
}
