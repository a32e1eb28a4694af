package router

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"goldcrestwick/internal/connection/guard"
	"goldcrestwick/internal/request/proxy"
	"goldcrestwick/internal/request/refuse"
)

// RefuseFull refuses a request that has not run, as this node has no room for it. The caller may
// come back after a time.
func (rt *Router) RefuseFull(w http.ResponseWriter, r *http.Request, retryAfter time.Duration) {
	refusal := refuse.New(refuse.NodeFull, guard.ErrNoPlace.Error())
	refusal.RetryAfter = retryAfter
	rt.refuse(w, r, &proxy.Request{Arrived: time.Now(), Method: r.Method}, refusal)
}

// refuse sends, counts and logs a refusal. If the request has not run, any 5xx status
// is sent as 503.
func (rt *Router) refuse(w http.ResponseWriter, r *http.Request, req *proxy.Request, refusal *refuse.Refusal) {
	defer rt.openIDs.Delete(req.ID)
	status := refusal.Status()
	if !refusal.MayHaveRun() && status >= http.StatusInternalServerError {
		status = http.StatusServiceUnavailable
	}
	tier := ""
	if req.Tier != nil {
		tier = req.Tier.Name
	}
	rt.Meter.Refused(tier, string(refusal.Reason), string(refusal.RunState))
	if rt.logsRefusal(req) {
		rt.logRefusal(r, req, refusal, status)
	}
	if refusal.RetryAfter > 0 && !refusal.MayHaveRun() {
		// Round up, since callers retry at once on 0.00.
		hundredths := math.Ceil(refusal.RetryAfter.Seconds() * 100)
		w.Header().Set("Retry-After", strconv.FormatFloat(hundredths/100, 'f', 2, 64))
	}
	refusal.WriteAs(w, req.ID, status)
}

// logsRefusal reports whether a refusal is logged. Only those of requests without an account may
// be left out.
func (rt *Router) logsRefusal(req *proxy.Request) bool {
	belongs := req.Account != nil || req.Route != nil && req.Route.Public
	if belongs || rt.unknownLines == nil || rt.unknownLines.Allow() {
		return true
	}
	rt.unknownOmitted.Add(1)
	return false
}

func (rt *Router) logRefusal(r *http.Request, req *proxy.Request, refusal *refuse.Refusal, status int) {
	rt.Log.Info("request_refused", "request_id", string(req.ID), "reason", refusal.Reason, "run", refusal.RunState,
		"status", status, "retry_after", refusal.RetryAfter, "message", refusal.Message,
		"account", accountName(req.Account), "route", routeName(req.Route), "caller_gone", r.Context().Err() != nil,
		"prompt_tokens", int64(req.Info.PromptTokens), "max_output_tokens", int64(req.Info.MaxOutputTokens),
		"took", time.Since(req.Arrived), "stopping", rt.stoppingFor(), "settings_version", uint64(req.Version), "unknown_target", unknownTarget(req),
		"lines_left_out", rt.unknownOmitted.Swap(0))
}

// maxLoggedTarget bounds the host and path in a log line.
const maxLoggedTarget = 200

// unknownTarget returns the host and path of a request without a route as log text, "" for one
// that has a route.
func unknownTarget(req *proxy.Request) string {
	if req.Route != nil {
		return ""
	}
	path, _, _ := strings.Cut(req.Target, "?")
	target := normalizeHost(req.Host) + path
	return target[:min(len(target), maxLoggedTarget)]
}
