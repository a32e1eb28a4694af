package proxy

import (
	"errors"
	"net/http"

	"goldcrestwick/internal/process/memory"
)

// deliver waits until the caller has taken what its connection buffers of an answer. The
// grant is complete by then, so that the endpoint does not wait for a slow caller. An answer
// that the caller did not take whole is truncated.
func deliver(caller *memory.Conn, w http.ResponseWriter, result Result) Result {
	var flushErr error
	if caller.HasBuffered() && result.Refusal == nil && !result.Truncated {
		// The last bytes are in the server's own buffer.
		flushErr = http.NewResponseController(w).Flush()
	}
	err := errors.Join(caller.Finish(), flushErr)
	switch {
	case err == nil || result.Refusal != nil:
	case errors.Is(err, memory.ErrGivenUp):
		result.Truncated, result.Reason = true, "the caller read nothing while others needed the memory"
	default:
		result.Truncated, result.Reason = true, "the caller went away"
	}
	return result
}
