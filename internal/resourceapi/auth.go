package resourceapi

import (
	"net/http"
	"strings"

	"github.com/gin-gonic/gin"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/settings"
)

const (
	identityKey  = "resourceapi.identity"
	bearerScheme = "bearer"
)

// Identity is an operator.
type Identity struct {
	Name string
	Role settings.Role
}

// Authenticator tells who holds a bearer token.
type Authenticator interface {
	// Authenticate returns the operator that the token stands for; false if there is none.
	Authenticate(token string) (Identity, bool)
}

// TokenAuthenticator knows the operators of a settings file.
type TokenAuthenticator struct {
	operators []settings.Operator
}

// NewTokenAuthenticator returns an Authenticator over the operators' hashed tokens.
func NewTokenAuthenticator(operators []settings.Operator) *TokenAuthenticator {
	normalized := make([]settings.Operator, 0, len(operators))
	for _, operator := range operators {
		operator.TokenHash = strings.ToLower(operator.TokenHash)
		normalized = append(normalized, operator)
	}
	return &TokenAuthenticator{operators: normalized}
}

// Authenticate implements Authenticator. Its time does not depend on which hash matches.
func (t *TokenAuthenticator) Authenticate(token string) (Identity, bool) {
	var found Identity
	matched := false
	for _, operator := range t.operators {
		if v1.TokenMatches(token, []string{operator.TokenHash}) && !matched {
			found = Identity{Name: operator.Name, Role: operator.Role}
			matched = true
		}
	}
	return found, matched
}

// identify refuses requests without a known bearer token.
func (a *API) identify(c *gin.Context) {
	identity, known := a.authenticate.Authenticate(bearerToken(c.GetHeader("Authorization")))
	if !known {
		c.Header("WWW-Authenticate", "Bearer")
		a.fail(c, v1.Errorf(v1.CodeUnauthenticated, "a valid operator token is required"))
		return
	}
	c.Set(identityKey, identity)
}

// bearerToken returns the token of an Authorization header, or "" if it has none.
func bearerToken(header string) string {
	scheme, token, _ := strings.Cut(header, " ")
	if !strings.EqualFold(scheme, bearerScheme) {
		return ""
	}
	return strings.TrimSpace(token)
}

// mayUse reports whether the role allows requests with the method.
func mayUse(role settings.Role, method string) bool {
	switch role {
	case settings.RoleOperator:
		return true
	case settings.RoleReadOnly:
		return method == http.MethodGet
	default:
		return false
	}
}
