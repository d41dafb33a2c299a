//go:build deps

package celeryport

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/google/uuid"
	_ "github.com/panjf2000/ants/v2"
	_ "github.com/prometheus/client_golang/prometheus/promhttp"
	_ "github.com/prometheus/client_golang/prometheus/testutil"
	_ "github.com/smartystreets/goconvey/convey"
	_ "github.com/valyala/fasthttp"
	_ "github.com/valyala/fasthttp/fasthttpadaptor"
	_ "github.com/valyala/fasthttp/fasthttputil"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/sys/unix"
	_ "gonum.org/v1/plot"
	_ "gonum.org/v1/plot/vg/vgsvg"
	_ "gopkg.in/ini.v1"
	_ "pgregory.net/rapid"
)
