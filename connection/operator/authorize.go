package operator

import (
	"crypto/subtle"
	"strings"

	"github.com/gofiber/fiber/v2"
	"go.uber.org/zap"

	"github.com/dunlinmill/dunlinmill/process/event"
	"github.com/dunlinmill/dunlinmill/request/failure"
	"github.com/dunlinmill/dunlinmill/version/keyring"
)

// Bootstrap is the operator name recorded for calls with the bootstrap token.
const Bootstrap = "bootstrap"

const (
	bearerPrefix     = "Bearer "
	operatorLocalKey = "operator" // key of the operator's name in the request's locals
)

// authenticator maps tokens to operators.
type authenticator struct {
	bootstrapHash string // empty if there is no bootstrap token
	view          View
	keys          *keyring.Current
}

func newAuthenticator(bootstrapToken string, v View) *authenticator {
	a := &authenticator{view: v, keys: keyring.NewCurrent(v)}
	if bootstrapToken != "" {
		a.bootstrapHash = keyring.Hash(bootstrapToken)
	}
	return a
}

// operatorFor returns the name of the operator that a token belongs to.
func (a *authenticator) operatorFor(token string) (string, bool) {
	if name, ok := a.keys.Keyring().Operator(token); ok {
		return name, true
	}
	if a.bootstrapHash == "" || !a.bootstrapAllowed() {
		return "", false
	}
	same := subtle.ConstantTimeCompare([]byte(keyring.Hash(token)), []byte(a.bootstrapHash)) == 1
	return Bootstrap, same
}

// bootstrapAllowed reports whether the bootstrap token is accepted, which requires a
// configuration without operators. A node that started while the log was down has an
// empty configuration too. If it accepted the token, the token would stay valid on
// every node that is cut off from the log, even long after operators were configured.
// Such a node has not read the log to its end, so CaughtUp excludes it.
func (a *authenticator) bootstrapAllowed() bool {
	return a.view.CaughtUp() && len(a.view.Config().Operators) == 0
}

func (l *Listener) authorize(c *fiber.Ctx) error {
	token, ok := strings.CutPrefix(c.Get(fiber.HeaderAuthorization), bearerPrefix)
	name, known := l.auth.operatorFor(token)
	if !ok || !known {
		l.refusalLogLimit.Do(func() {
			event.Warn(l.log, event.OperatorRefused, zap.String("Address", c.Context().RemoteAddr().String()), zap.String("Path", c.Path()))
		})
		return failure.ErrUnauthenticated.WithMessage("the operator's token is missing or not known")
	}
	if name == Bootstrap {
		event.Warn(l.log, event.BootstrapTokenUsed, zap.String("Address", c.Context().RemoteAddr().String()), zap.String("Path", c.Path()))
	}
	c.Locals(operatorLocalKey, name)
	return c.Next()
}

func callingOperator(c *fiber.Ctx) string {
	name, _ := c.Locals(operatorLocalKey).(string)
	return name
}
