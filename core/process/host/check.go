package host

import (
	"fmt"
	"io"
	"os"

	"github.com/mulberrydale/mulberrydale/core/result"
)

// readSettings reads and checks a settings file, and returns its text too.
func readSettings(path string, adapter Adapter) (Settings, []byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, nil, result.Wrap(err, result.DocumentMissing, "settings")
	}
	s, err := adapter.DecodeSettings(text)
	return s, text, err
}

// CheckSettings says what is wrong with a settings file.
func CheckSettings(path string, adapter Adapter) error {
	_, _, err := readSettings(path, adapter)
	return err
}

// CheckRoutes says what is wrong with a document of routes, or prints a summary
// of one without faults.
func CheckRoutes(out io.Writer, path string, adapter Adapter) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return result.Wrap(err, result.DocumentMissing, "configuration")
	}
	t, err := adapter.DecodeRoutes(text)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%d %s: version %d with %d routes\n", result.DocumentValid, result.DocumentValid, t.Version(), len(t.Routes()))
	return err
}
