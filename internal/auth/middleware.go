package auth

import (
	"strings"
	"time"

	"github.com/gin-gonic/gin"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/httperr"
)

const (
	contextKey      = "covelink.auth.identities"
	bearerScheme    = "Bearer"
	headerChallenge = "WWW-Authenticate"
	// startingRetryAfter is when a caller may come back to a node without a configuration.
	startingRetryAfter = time.Second
)

// Authenticate refuses a request without a known token with 401 and notes the callers of the others. A node that has no
// configuration yet refuses unknown tokens with 503, for another node may know them and this one will soon.
func (a *Authenticator) Authenticate() gin.HandlerFunc {
	return func(c *gin.Context) {
		token := BearerToken(c.GetHeader("Authorization"))
		callers := a.Identify(token)
		if len(callers) == 0 && token != "" && a.unconfigured() {
			httperr.Write(c, v1.NotRun(v1.CodeUnavailable, startingRetryAfter, "the node has no configuration yet"))
			return
		}
		if len(callers) == 0 {
			c.Header(headerChallenge, bearerScheme)
			httperr.Write(c, v1.NotRun(v1.CodeUnauthenticated, 0, "no or unknown bearer token"))
			return
		}
		c.Set(contextKey, callers)
	}
}

// CallersOf returns the callers that Authenticate has noted.
func CallersOf(c *gin.Context) Identities {
	callers, _ := c.Get(contextKey)
	ids, _ := callers.(Identities)
	return ids
}

// RequireTrainer refuses with 403 whoever is not the trainer that the path parameter names.
func RequireTrainer(parameter string) gin.HandlerFunc {
	return require(func(c *gin.Context, ids Identities) bool {
		return ids.Has(KindTrainer, c.Param(parameter))
	})
}

// RequireApplication refuses with 403 whoever is not an application.
func RequireApplication() gin.HandlerFunc {
	return require(func(_ *gin.Context, ids Identities) bool {
		return len(ids.Names(KindApplication)) > 0
	})
}

// RequireOperator refuses with 403 whoever is not an operator that may write.
func RequireOperator() gin.HandlerFunc {
	return require(func(_ *gin.Context, ids Identities) bool {
		return len(ids.Names(KindOperator)) > 0
	})
}

// RequireOperatorRead refuses with 403 whoever is neither an operator nor a read-only operator.
func RequireOperatorRead() gin.HandlerFunc {
	return require(func(_ *gin.Context, ids Identities) bool {
		return len(ids.Names(KindOperator))+len(ids.Names(KindReadOnlyOperator)) > 0
	})
}

func require(allowed func(*gin.Context, Identities) bool) gin.HandlerFunc {
	return func(c *gin.Context) {
		if !allowed(c, CallersOf(c)) {
			httperr.Write(c, v1.NotRun(v1.CodeForbidden, 0, "the token does not allow this"))
		}
	}
}

// BearerToken returns the token of an Authorization header, or an empty string.
func BearerToken(header string) string {
	scheme, token, found := strings.Cut(header, " ")
	if !found || !strings.EqualFold(scheme, bearerScheme) {
		return ""
	}
	return strings.TrimSpace(token)
}
