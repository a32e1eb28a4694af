package cloud

import (
	"bytes"
	"io"
	"net/http"
)

// SetSilent makes the platform fall silent, or speak again. A call that has no response when it
// falls silent, or arrives before it speaks again, is never answered, not even later: its
// connection is open but delivers nothing. The former calls are performed, the latter not.
func (p *Platform) SetSilent(isSilent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if isSilent && !p.isSilent {
		p.silences++
	}
	p.isSilent = isSilent
}

// serveUnlessSilent serves a call with next, or not at all.
func (p *Platform) serveUnlessSilent(w http.ResponseWriter, r *http.Request, next http.Handler) {
	p.mu.Lock()
	isSilent, silences := p.isSilent, p.silences
	p.mu.Unlock()
	answer := &heldWriter{header: w.Header(), status: http.StatusOK}
	if !isSilent {
		next.ServeHTTP(answer, r)
	}
	p.mu.Lock()
	isLost := isSilent || p.silences != silences
	p.mu.Unlock()
	if isLost {
		io.Copy(io.Discard, r.Body) //nolint:errcheck // net/http notices the caller's leaving after that.
		<-r.Context().Done()        // the caller gives the call up.
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(answer.status)
	w.Write(answer.body.Bytes()) //nolint:errcheck // the caller may be gone.
}

// heldWriter holds a response back until it is known that it can be sent.
type heldWriter struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (w *heldWriter) Header() http.Header         { return w.header }
func (w *heldWriter) WriteHeader(status int)      { w.status = status }
func (w *heldWriter) Write(b []byte) (int, error) { return w.body.Write(b) }
