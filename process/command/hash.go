package command

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/dunlinmill/dunlinmill/process/settings"
	"github.com/dunlinmill/dunlinmill/version/keyring"
)

// maxSecretBytes bounds the secret that is read from standard input.
const maxSecretBytes = 4096

func (p program) hashCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:       "hash",
		ShortUsage: "dunlinmill hash < FILE",
		ShortHelp:  "hash a key or token for the configuration",
		LongHelp: help(`Reads one workspace key or operator token, a single line, from standard
input and prints the hash that the configuration holds in its place.`,
			"dunlinmill hash < key.txt"),
		Exec: func(_ context.Context, args []string) error {
			if err := requireNoArguments(args); err != nil {
				return err
			}
			line, err := bufio.NewReader(io.LimitReader(p.streams.In, maxSecretBytes)).ReadString('\n')
			if err != nil && !errors.Is(err, io.EOF) {
				return fmt.Errorf("hash: %w", err)
			}
			value := strings.TrimSpace(line)
			if len(value) < settings.MinSecretBytes {
				return fmt.Errorf("hash: the secret has %d bytes, at least %d are needed", len(value), settings.MinSecretBytes)
			}
			_, err = fmt.Fprintln(p.streams.Out, keyring.Hash(value))
			return err
		},
	}
}
