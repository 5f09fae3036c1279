package host

import (
	"fmt"
	"io"
	"os"

	"github.com/mulberrydale/mulberrydale/core/result"
)

// readSettings reads and decodes a settings file. It also returns the text of
// the file.
func readSettings(path string, adapter Adapter) (Settings, []byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, nil, result.Wrap(err, result.DocumentMissing, "reading the settings file")
	}
	s, err := adapter.DecodeSettings(text)
	return s, text, err
}

// CheckSettings returns an error if a settings file cannot be read or is
// invalid.
func CheckSettings(path string, adapter Adapter) error {
	_, _, err := readSettings(path, adapter)
	return err
}

// CheckRoutes returns an error if a file with a document of routes cannot be
// read or is invalid, and otherwise prints a summary of the document.
func CheckRoutes(out io.Writer, path string, adapter Adapter) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return result.Wrap(err, result.DocumentMissing, "reading the routes file")
	}
	t, err := adapter.AcceptRoutes(text)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%d %s: version %d with %d routes\n", result.DocumentValid, result.DocumentValid, t.Version(), len(t.Routes()))
	return err
}
