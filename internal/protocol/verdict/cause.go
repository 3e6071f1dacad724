package verdict

import "net/http"

// The causes of a request that ends without a complete answer.
const (
	CauseBadRequest     Cause = "bad-request"
	CauseTooLarge       Cause = "too-large"
	CauseUnauthorised   Cause = "unauthorised"
	CauseUnknownKind    Cause = "unknown-kind"
	CauseUnknownQueue   Cause = "unknown-queue"
	CauseNeverFits      Cause = "never-fits"
	CauseOverloaded     Cause = "overloaded"
	CauseQueueFull      Cause = "queue-full"
	CauseTeamQuota      Cause = "team-quota"
	CauseHopeless       Cause = "hopeless"
	CauseDeadline       Cause = "deadline"
	CauseCancelled      Cause = "cancelled"
	CauseNoHost         Cause = "no-host"
	CauseNotServing     Cause = "not-serving"
	CauseShuttingDown   Cause = "shutting-down"
	CauseIDRequired     Cause = "id-required"
	CauseIDTooOld       Cause = "id-too-old"
	CauseIDInFuture     Cause = "id-in-future"
	CauseClaimFailed    Cause = "claim-failed"
	CauseDuplicate      Cause = "duplicate"
	CauseUpstreamDial   Cause = "upstream-dial"
	CauseUpstreamBusy   Cause = "upstream-busy"
	CauseUpstreamSilent Cause = "upstream-silent"
	CauseUpstreamBroken Cause = "upstream-broken"
	CauseAnswerTooLarge Cause = "answer-too-large"
	CauseInternal       Cause = "internal"
)

var statuses = map[Cause]int{
	CauseBadRequest:     http.StatusBadRequest,
	CauseTooLarge:       http.StatusRequestEntityTooLarge,
	CauseUnauthorised:   http.StatusUnauthorized,
	CauseUnknownKind:    http.StatusNotFound,
	CauseUnknownQueue:   http.StatusNotFound,
	CauseNeverFits:      http.StatusUnprocessableEntity,
	CauseOverloaded:     http.StatusServiceUnavailable,
	CauseQueueFull:      http.StatusServiceUnavailable,
	CauseTeamQuota:      http.StatusTooManyRequests,
	CauseHopeless:       http.StatusTooManyRequests,
	CauseDeadline:       http.StatusGatewayTimeout,
	CauseCancelled:      499,
	CauseNoHost:         http.StatusServiceUnavailable,
	CauseNotServing:     http.StatusServiceUnavailable,
	CauseShuttingDown:   http.StatusServiceUnavailable,
	CauseIDRequired:     http.StatusBadRequest,
	CauseIDTooOld:       http.StatusGone,
	CauseIDInFuture:     http.StatusBadRequest,
	CauseClaimFailed:    http.StatusServiceUnavailable,
	CauseDuplicate:      http.StatusConflict,
	CauseUpstreamDial:   http.StatusBadGateway,
	CauseUpstreamBusy:   http.StatusServiceUnavailable,
	CauseUpstreamSilent: http.StatusGatewayTimeout,
	CauseUpstreamBroken: http.StatusBadGateway,
	CauseAnswerTooLarge: http.StatusBadGateway,
	CauseInternal:       http.StatusInternalServerError,
}

// Status returns the HTTP status code of a cause.
func (c Cause) Status() int {
	if status, ok := statuses[c]; ok {
		return status
	}
	return http.StatusInternalServerError
}
