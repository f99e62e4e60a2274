package transport

import (
	"context"
	"time"

	"github.com/citronrun/citronrun/internal/wire"
)

// Patience bounds a call: it ends after Silence if nothing was received from the peer since it began, and after Limit
// otherwise. A peer that is slow has the call in its queue, and a repeated call would only lengthen that queue.
type Patience struct{ Silence, Limit time.Duration }

// CallPatient is like Call, within the bounds of patience.
func (e *Endpoint) CallPatient(ctx context.Context, addr string, patience Patience, kind wire.Kind, req, resp any) error {
	ctx, cancel := context.WithTimeout(ctx, patience.Limit)
	defer cancel()
	before := e.PacketsReceived(addr)
	silent := time.AfterFunc(patience.Silence, func() {
		if e.PacketsReceived(addr) == before {
			cancel()
		}
	})
	defer silent.Stop()
	return e.Call(ctx, addr, kind, req, resp)
}
