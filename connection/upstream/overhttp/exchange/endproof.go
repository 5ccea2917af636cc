package exchange

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// endProofTimeout limits how long the end of an answer waits for the upstream's proof, and for that
	// of a process between.
	endProofTimeout = time.Second
	// endQuestionTimeout limits one question. A kept connection may have gone silent.
	endQuestionTimeout = 250 * time.Millisecond
	// endQuestionPause is the time before the second question. It doubles with each further one, as new
	// connections to a full upstream don't help it.
	endQuestionPause = 20 * time.Millisecond
	// deadlineMargin is how long before the deadline an upstream may take it for over. It is told whole
	// milliseconds.
	deadlineMargin = 10 * time.Millisecond
)

var (
	// ErrEndUnproved means that an answer without a length or chunks may have been cut off: the kernel
	// closes the connections of a process that is killed as orderly as the process itself would.
	ErrEndUnproved = errors.New("nothing proves that the end of the connection is the end of the answer")
	// ErrOtherProcess means that another process has the upstream's address now.
	ErrOtherProcess = errors.New("another process has the address")

	errAtDeadline = errors.New("the upstream may have stopped at the deadline")
	errNoBody     = errors.New("a success without a length, chunks or any byte of a body")
	errNoProver   = errors.New("the process between can't be asked")
)

// EndProof is how an upstream proves that it has ended an answer itself. An answer that ends with its
// connection is whole only if the process that sent it is there afterwards.
type EndProof interface {
	// Question returns a request that names the process and that it answers at once.
	Question() *fasthttp.Request
	// Check returns nil if an answer to the question shows that the process is the same, an error that
	// wraps ErrOtherProcess if it shows another one, and any other error if it shows neither.
	Check(answer *fasthttp.Response) error
}

// EndProver is implemented by connections that pass through another process, which may end as well.
type EndProver interface {
	// ProveEnd returns nil if the connection ended because the upstream ended it in order.
	ProveEnd(ctx context.Context) error
}

// unframedEnd returns io.EOF if the orderly end of the connection is known to be that of the answer.
func (s *Stream) unframedEnd() error {
	if s.checkEnd != nil {
		if err := s.checkEnd(); err != nil {
			return fmt.Errorf("%w: %w", io.ErrUnexpectedEOF, err)
		}
	}
	if !s.hasBody && isSuccess(s.resp.StatusCode()) {
		// An upstream that stops may have sent the head alone. One that has no body to send says so by a length.
		return fmt.Errorf("%w: %w", io.ErrUnexpectedEOF, errNoBody)
	}
	if deadline, ok := s.ctx.Deadline(); ok && time.Until(deadline) < deadlineMargin {
		return fmt.Errorf("%w: %w", ErrEndUnproved, errAtDeadline)
	}
	if err := s.awaitTaken(); err != nil {
		return err
	}
	if err := s.proveEndBetween(); err != nil {
		return fmt.Errorf("%w: %v", ErrEndUnproved, err)
	}
	if err := s.client.proveEnd(s.ctx); err != nil {
		return fmt.Errorf("%w: %v", ErrEndUnproved, err)
	}
	// The proof takes a round trip, in which the upstream answers what it had not received at the end, with a reset.
	if err := s.conn.socketError(); err != nil {
		return fmt.Errorf("reset behind the end of the answer: %w", err)
	}
	return io.EOF
}

// isSuccess reports whether an answer with a status promises its whole body.
func isSuccess(status int) bool {
	return status >= fasthttp.StatusOK && status < fasthttp.StatusMultipleChoices
}

// proveEndBetween asks the process that the connection passes through, if there is one.
func (s *Stream) proveEndBetween() error {
	if s.conn.direct {
		return nil
	}
	p, ok := s.conn.Conn.(EndProver)
	if !ok {
		return errNoProver
	}
	ctx, cancel := context.WithTimeout(s.ctx, endProofTimeout)
	defer cancel()
	return p.ProveEnd(ctx)
}

// proveEnd asks the upstream until an answer decides, or nobody listens at its address, or the time is
// over.
func (c *Client) proveEnd(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, endProofTimeout)
	defer cancel()
	acquire := c.pool.acquire
	for pause := endQuestionPause; ; pause *= 2 {
		askedAt := time.Now()
		err := c.askForEnd(ctx, acquire)
		if err == nil || errors.Is(err, ErrOtherProcess) || !c.cfg.pathLost() && c.pool.isRefusedByHost(askedAt, err) {
			return err
		}
		// On a lost path the question may find another way soon.
		select {
		case <-ctx.Done():
			return err
		case <-time.After(pause):
		}
		// The client may have been closed since, as the upstream has left.
		acquire = c.pool.dial
	}
}

// askForEnd asks the upstream once.
func (c *Client) askForEnd(ctx context.Context, acquire acquireFunc) error {
	ctx, cancel := context.WithTimeout(ctx, endQuestionTimeout)
	defer cancel()
	s := &Stream{client: c, ctx: ctx, resp: &fasthttp.Response{}, isQuestion: true}
	if err := s.exchange(acquire, c.cfg.EndProof.Question()); err != nil {
		return err
	}
	return c.cfg.EndProof.Check(s.resp)
}
