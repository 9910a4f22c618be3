package resourceapi

import (
	"net/http"

	"github.com/gin-gonic/gin"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/auth"
)

const (
	operatorKey     = "resourceapi.operator"
	challengeHeader = "WWW-Authenticate"
	bearerScheme    = "Bearer"
)

// Identifier tells who holds a bearer token.
type Identifier interface {
	// Identify returns the callers that the token stands for, none if it is not known.
	Identify(token string) auth.Identities
}

// identify refuses requests without a known bearer token with 401 and those of other callers than operators with 403.
func (a *API) identify(c *gin.Context) {
	callers := a.identifier.Identify(auth.BearerToken(c.GetHeader("Authorization")))
	if len(callers) == 0 {
		c.Header(challengeHeader, bearerScheme)
		a.fail(c, v1.Errorf(v1.CodeUnauthenticated, "a valid operator token is required"))
		return
	}
	operator, found := operatorOf(callers)
	if !found {
		a.fail(c, v1.Errorf(v1.CodeForbidden, "the token is not an operator's"))
		return
	}
	c.Set(operatorKey, operator)
}

// operatorOf returns the operator among the callers, one that may write before one that may only read.
func operatorOf(callers auth.Identities) (auth.Identity, bool) {
	for _, kind := range []auth.Kind{auth.KindOperator, auth.KindReadOnlyOperator} {
		if names := callers.Names(kind); len(names) > 0 {
			return auth.Identity{Kind: kind, Name: names[0]}, true
		}
	}
	return auth.Identity{}, false
}

// mayUse reports whether the operator may send requests with the method.
func mayUse(operator auth.Identity, method string) bool {
	return operator.Kind == auth.KindOperator || method == http.MethodGet
}
