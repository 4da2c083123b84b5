package gateway

import (
	"context"

	"github.com/arbutusring/arbutusring/internal/clock"
	"github.com/arbutusring/arbutusring/pkg/errkind"
)

// admit obtains the admission of the operation, if its customer needs one and it has
// none. It is called before the wait for a slot, so that no slot is held meanwhile.
func (o *operation) admit() error {
	if o.gateway.opts.Admit == nil || o.session.identity.customer == "" || o.admitted {
		return nil
	}
	ctx, cancel := context.WithTimeout(o.ctx, o.deadline.Sub(clock.Now()))
	defer cancel()
	var err error
	o.admission, err = o.gateway.opts.Admit(ctx, o.session.identity.customer)
	o.admitted = err == nil
	return err
}

// useAdmission counts the operation as sent, unless it was before, and reports whether
// it may be. It is called immediately before the statement or BEGIN is sent.
func (o *operation) useAdmission() error {
	if !o.admitted || o.sent || o.admission.use() {
		return nil
	}
	o.refundUnsent()
	return errAdmissionEnded()
}

// refundUnsent gives the admission back if nothing was sent to a server.
func (o *operation) refundUnsent() {
	if o.admitted && !o.sent {
		o.admission.Refund()
		o.admission, o.admitted = Admission{}, false
	}
}

// recordSend records an attempt to send the statement, or BEGIN, on a connection,
// which ended with err.
func (o *operation) recordSend(pc *pooledConn, err error) {
	o.sent = o.sent || errkind.Of(err) != errkind.ConnectFailed && !pc.refusedByConnector(err) && !pc.refusedRequest(err)
}
