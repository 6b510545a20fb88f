package core

import (
	"fmt"
	"net/http"
	"time"
)

// Code is a numeric result code. Its thousands digit is its Class.
type Code int

// Class tells whether a request was executed.
type Class int

// The classes of result codes.
const (
	// ClassNotRun means that no endpoint received any byte of the request, or that a change was not made.
	ClassNotRun Class = 1
	// ClassFailed means that an endpoint ran the request and that it failed.
	ClassFailed Class = 2
	// ClassUnknown means that the request or change may or may not have taken effect.
	ClassUnknown Class = 3
)

// String returns the name of the class as used in error bodies.
func (c Class) String() string {
	switch c {
	case ClassNotRun:
		return "not run"
	case ClassFailed:
		return "failed"
	case ClassUnknown:
		return "unknown"
	}
	return "invalid"
}

// Result codes of requests that were not run (10xx to 13xx), of settings and operator changes (14xx), of requests that
// failed on an endpoint (20xx) and of unknown outcomes (30xx).
const (
	CodeBadRequest     Code = 1001
	CodeUnauthorized   Code = 1002
	CodeNotFound       Code = 1003
	CodeBodyTooLarge   Code = 1004
	CodeUnknownKind    Code = 1005
	CodeSlowBody       Code = 1006
	CodeOverloaded     Code = 1101
	CodeDeadline       Code = 1102
	CodeNoEndpoint     Code = 1103
	CodeKeyRequired    Code = 1104
	CodeStoreDown      Code = 1105
	CodeInProgress     Code = 1106
	CodeKeyMismatch    Code = 1107
	CodeShuttingDown   Code = 1108
	CodeNotReady       Code = 1109
	CodeCallerGone     Code = 1110
	CodeClaimsFull     Code = 1111
	CodeClaimExpired   Code = 1112
	CodeBadSettings    Code = 1401
	CodeBadTemplate    Code = 1402
	CodeConflict       Code = 1403
	CodeForbidden      Code = 1404
	CodeNoSuchObject   Code = 1405
	CodeChangeRejected Code = 1406

	CodeEngineError     Code = 2001
	CodeTruncated       Code = 2002
	CodeWrongAnswer     Code = 2003
	CodeCancelled       Code = 2004
	CodeLateAfterStart  Code = 2005
	CodeServiceRejected Code = 2006

	CodeOutcomeUnknown Code = 3001
	CodeHolderLost     Code = 3002
	CodeChangeUnknown  Code = 3003
)

// CodeInfo documents a result code.
type CodeInfo struct {
	Code    Code
	Name    string
	Status  int // HTTP status of the response
	Meaning string
	Advice  string // what the receiver may do
}

// Codes lists all result codes in ascending order. docs/codes.md is generated from it.
var Codes = []CodeInfo{
	{CodeBadRequest, "bad request", http.StatusBadRequest, "the request cannot be parsed or lacks a field", "correct the request"},
	{CodeUnauthorized, "unauthorized", http.StatusUnauthorized, "the API key is missing or unknown", "use a key of the workspace"},
	{CodeNotFound, "not found", http.StatusNotFound, "no such path or service", "correct the path"},
	{CodeBodyTooLarge, "body too large", http.StatusRequestEntityTooLarge, "the body exceeds limits.body", "send a smaller body"},
	{CodeUnknownKind, "unknown kind", http.StatusNotFound, "the workspace has no kind of work for this model or path", "use a model that GET /v1/models lists"},
	{CodeSlowBody, "slow body", http.StatusRequestTimeout, "the body did not arrive in time", "send it again"},
	{CodeOverloaded, "overloaded", http.StatusTooManyRequests, "the queue is full or reserved for more urgent work", "retry after the stated delay"},
	{CodeDeadline, "deadline", http.StatusServiceUnavailable, "the request cannot be started before its deadline", "retry later or with a longer deadline"},
	{CodeNoEndpoint, "no endpoint", http.StatusServiceUnavailable, "no endpoint of the pool accepts work", "retry after the stated delay"},
	{CodeKeyRequired, "key required", http.StatusBadRequest, "a non-idempotent request has no Idempotency-Key", "add the header"},
	{CodeStoreDown, "store down", http.StatusServiceUnavailable, "the order key could not be claimed because the object API did not answer", "retry with the same key"},
	{CodeInProgress, "in progress", http.StatusConflict, "another request with this order key is running; this one was not run", "ask again later with the same key"},
	{CodeKeyMismatch, "key mismatch", http.StatusUnprocessableEntity, "the order key was used with another request", "use a new key"},
	{CodeShuttingDown, "shutting down", http.StatusServiceUnavailable, "the instance is shutting down", "retry at once; another instance answers"},
	{CodeNotReady, "not ready", http.StatusServiceUnavailable, "the instance has no configuration yet", "retry at once; another instance answers"},
	{CodeCallerGone, "caller gone", 499, "the caller closed the connection before the request was dispatched", "none"},
	{CodeClaimsFull, "claims full", http.StatusServiceUnavailable, "the claim storage of this key is full", "retry later with the same key"},
	{CodeClaimExpired, "claim expired", http.StatusServiceUnavailable, "the claim was older than its validity before dispatch", "retry with the same key"},
	{CodeBadSettings, "bad settings", http.StatusBadRequest, "the settings file is invalid", "correct the named field"},
	{CodeBadTemplate, "bad template", http.StatusUnprocessableEntity, "a template or workspace is invalid", "correct the named field"},
	{CodeConflict, "conflict", http.StatusConflict, "another operator changed the object first", "review the current value and apply again"},
	{CodeForbidden, "forbidden", http.StatusForbidden, "the key does not permit this", "use an operator key"},
	{CodeNoSuchObject, "no such object", http.StatusNotFound, "no template or workspace has this name", "correct the name"},
	{CodeChangeRejected, "change rejected", http.StatusServiceUnavailable, "the object API refused the change; it was not made", "retry"},
	{CodeEngineError, "engine error", http.StatusBadGateway, "the endpoint answered with an error after it received the request", "retry as a new request if that is acceptable"},
	{CodeTruncated, "truncated", http.StatusBadGateway, "the answer broke off and could not be resumed", "discard the partial answer"},
	{CodeWrongAnswer, "wrong answer", http.StatusBadGateway, "the endpoint's answer named another request or skipped a part", "discard the partial answer"},
	{CodeCancelled, "cancelled", 499, "the caller closed the connection; the work was cancelled", "none"},
	{CodeLateAfterStart, "late after start", http.StatusGatewayTimeout, "the endpoint did not finish before the deadline", "discard the partial answer"},
	{CodeServiceRejected, "service rejected", http.StatusBadGateway, "the service answered in a form that cannot be passed on", "inspect the service"},
	{CodeOutcomeUnknown, "outcome unknown", http.StatusGatewayTimeout, "the request was sent, and no answer tells whether it took effect", "check the outcome before repeating it"},
	{CodeHolderLost, "holder lost", http.StatusGatewayTimeout, "the instance that held this order was lost while it ran", "check the outcome before repeating it"},
	{CodeChangeUnknown, "change unknown", http.StatusGatewayTimeout, "the object API did not answer, and reading back was impossible", "read the object, then apply again if needed"},
}

var codeIndex = func() map[Code]CodeInfo {
	m := make(map[Code]CodeInfo, len(Codes))
	for _, c := range Codes {
		m[c.Code] = c
	}
	return m
}()

// Class returns the class of the code.
func (c Code) Class() Class { return Class(c / 1000) }

// Info returns the documentation of the code; an undefined code has an empty name and status 500.
func (c Code) Info() CodeInfo {
	if i, ok := codeIndex[c]; ok {
		return i
	}
	return CodeInfo{Code: c, Status: http.StatusInternalServerError}
}

// Error is an error with a result code.
type Error struct {
	Code       Code
	Detail     string        // specific to this occurrence; may be empty
	RetryAfter time.Duration // when to retry; 0 for no advice
}

// Errorf returns an Error whose Detail is formatted like that of fmt.Sprintf.
func Errorf(c Code, format string, args ...any) *Error {
	return &Error{Code: c, Detail: fmt.Sprintf(format, args...)}
}

// Error returns the code, its name and the detail.
func (e *Error) Error() string {
	if e.Detail == "" {
		return fmt.Sprintf("%d %s", e.Code, e.Code.Info().Name)
	}
	return fmt.Sprintf("%d %s: %s", e.Code, e.Code.Info().Name, e.Detail)
}
