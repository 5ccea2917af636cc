package caller

import (
	"bufio"
	"encoding/json"

	"github.com/gofiber/fiber/v2"

	"github.com/dunlinmill/dunlinmill/connection/refusal"
	"github.com/dunlinmill/dunlinmill/request/failure"
)

// errorBody is the OpenAI-compatible form of a failure. The code is one of package
// failure's; the fields ran and retry_after are additions of the router.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message    string  `json:"message"`
	Type       string  `json:"type"`
	Code       string  `json:"code"`
	Ran        string  `json:"ran"`
	RetryAfter float64 `json:"retry_after,omitempty"` // seconds
}

func bodyOf(e *failure.Error) errorBody {
	return errorBody{Error: errorDetail{
		Message:    e.Message,
		Type:       errorType(e.Status),
		Code:       e.Code.String(),
		Ran:        e.Ran.Text(),
		RetryAfter: e.RetryAfter.Seconds(),
	}}
}

func errorType(status int) string {
	if status >= fiber.StatusInternalServerError {
		return "server_error"
	}
	return "invalid_request_error"
}

func writeFailure(c *fiber.Ctx, e *failure.Error) error {
	c.Set(HeaderRan, e.Ran.Text())
	return refusal.Write(c, e, bodyOf(e))
}

// writeEvent writes and flushes one server-sent event.
func writeEvent(w *bufio.Writer, name string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	if name != "" {
		if _, err := w.WriteString("event: " + name + "\n"); err != nil {
			return err
		}
	}
	return writeData(w, data)
}

func writeData(w *bufio.Writer, data []byte) error {
	if _, err := w.WriteString("data: "); err != nil {
		return err
	}
	if _, err := w.Write(data); err != nil {
		return err
	}
	if _, err := w.WriteString("\n\n"); err != nil {
		return err
	}
	return w.Flush()
}
