// Package gateway serves the callers of covelink over HTTP: applications by the conventions of
// OpenAI-compatible servers, and trainers by the batch routes.
//
// Every error states what is known of the request's execution. A stream ends with [DONE] or with an error
// event, never silently. Nothing from a request or answer body reaches a log line or an error.
package gateway
