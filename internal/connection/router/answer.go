package router

import "net/http"

// answerWriter records whether the head of an answer was written. A refusal after it would
// become a part of the body and end the answer as if it were whole.
type answerWriter struct {
	http.ResponseWriter
	hasHead bool
}

// WriteHeader writes the head of the answer.
func (w *answerWriter) WriteHeader(status int) {
	w.hasHead = w.hasHead || status >= http.StatusOK
	w.ResponseWriter.WriteHeader(status)
}

func (w *answerWriter) Write(data []byte) (int, error) {
	w.hasHead = true
	return w.ResponseWriter.Write(data)
}

// Unwrap returns the underlying writer, for http.ResponseController.
func (w *answerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
