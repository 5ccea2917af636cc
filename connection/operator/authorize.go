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

// Bootstrap is the operator's name under which the bootstrap token acts.
const Bootstrap = "bootstrap"

const (
	bearer       = "Bearer "
	operatorName = "operator" // key of the request's local value
)

// authority knows whose token is whose.
type authority struct {
	bootstrap string // hash; empty: none
	view      View
	keys      *keyring.Current
}

func newAuthority(bootstrapToken string, v View) *authority {
	a := &authority{view: v, keys: keyring.NewCurrent(v)}
	if bootstrapToken != "" {
		a.bootstrap = keyring.Hash(bootstrapToken)
	}
	return a
}

// operator gives the operator that a token belongs to.
func (a *authority) operator(token string) (string, bool) {
	if name, ok := a.keys.Keyring().Operator(token); ok {
		return name, true
	}
	if a.bootstrap == "" || !a.open() {
		return "", false
	}
	same := subtle.ConstantTimeCompare([]byte(keyring.Hash(token)), []byte(a.bootstrap)) == 1
	return Bootstrap, same
}

// open says whether the bootstrap token counts. A node that started while the
// log was down has an empty configuration too; were the token accepted there,
// it would work for ever on any node cut off from the log, with operators
// long configured. Such a node has not read the log's end, so that asking for
// that is enough.
func (a *authority) open() bool {
	return a.view.CaughtUp() && len(a.view.Config().Operators) == 0
}

func (l *Listener) authorize(c *fiber.Ctx) error {
	token, ok := strings.CutPrefix(c.Get(fiber.HeaderAuthorization), bearer)
	name, known := l.keys.operator(token)
	if !ok || !known {
		l.refusals.Do(func() {
			event.Warn(l.log, event.OperatorRefused, zap.String("Address", c.Context().RemoteAddr().String()), zap.String("Path", c.Path()))
		})
		return failure.ErrUnauthenticated.WithMessage("the operator's token is missing or not known")
	}
	if name == Bootstrap {
		event.Warn(l.log, event.BootstrapTokenUsed, zap.String("Address", c.Context().RemoteAddr().String()), zap.String("Path", c.Path()))
	}
	c.Locals(operatorName, name)
	return c.Next()
}

func operatorOf(c *fiber.Ctx) string {
	name, _ := c.Locals(operatorName).(string)
	return name
}
