package v1

// ErrorBody is the JSON body of every HTTP error, in the shape of OpenAI-compatible servers.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes an error to a caller. It never holds any part of a request or answer body.
type ErrorDetail struct {
	Message string `json:"message"`
	// Type is the class of the error as OpenAI clients know it, for example invalid_request_error.
	Type string    `json:"type"`
	Code ErrorCode `json:"code"`
	// Param is the path of the offending field; null if there is none.
	Param *string `json:"param"`
	// Outcome is set for requests that could have been executed.
	Outcome Outcome `json:"outcome,omitempty"`
}
