package cli

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	urfave "github.com/urfave/cli/v3"

	"celeryport/settings"
)

// settingsHashKeyCommand prints the hash of a caller's key. The key is read from
// standard input, since arguments are visible in process lists.
func settingsHashKeyCommand(stdout, _ io.Writer) *urfave.Command {
	return &urfave.Command{
		Name:  "hash-key",
		Usage: "read a caller's key from standard input and print its hash for key_sha256",
		Action: func(context.Context, *urfave.Command) error {
			return hashKey(os.Stdin, stdout)
		},
	}
}

func hashKey(stdin io.Reader, stdout io.Writer) error {
	line, err := bufio.NewReader(stdin).ReadString('\n')
	key := strings.TrimSpace(line)
	if key == "" {
		return &ExitError{Code: ExitUsage, Err: errors.CombineErrors(errors.New("no key on the standard input"), ignoreEOF(err))}
	}
	fmt.Fprintln(stdout, settings.HashKey(key))
	return nil
}

func ignoreEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}
