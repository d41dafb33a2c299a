package standin

import (
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"
)

// pathFaults is the path for fault injection: POST FaultSwitch enables a fault, DELETE clears all
// faults, GET lists them.
const pathFaults = "/faults"

// Faults returns the faults of the stand-in, for enabling and clearing them.
func (h *host) Faults() *Faults { return h.faults }

func (h *host) serveFaults(ctx *fasthttp.RequestCtx) {
	if !h.authorised(ctx) {
		refuse(ctx, fasthttp.StatusUnauthorized, "unknown key")
		return
	}
	switch {
	case ctx.IsPost():
		var s FaultSwitch
		if !decode(ctx, &s) {
			return
		}
		if err := h.faults.Set(s); err != nil {
			refuse(ctx, fasthttp.StatusBadRequest, err.Error())
			return
		}
		eventFault.Log(h.options.Log, logrus.Fields{"name": h.options.Name, "fault": s.Fault, "times": s.Times})
	case ctx.IsDelete():
		h.faults.Clear()
		eventFault.Log(h.options.Log, logrus.Fields{"name": h.options.Name, "fault": "none"})
	}
	respondJSON(ctx, h.faults.List())
}
