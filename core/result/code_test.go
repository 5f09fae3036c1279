package result_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/result"
)

func TestTableMatchesDocumentation(t *testing.T) {
	text, err := os.ReadFile("../../docs/RESULT-CODES.md")
	assert.NilError(t, err)
	rows := 0
	for _, line := range strings.Split(string(text), "\n") {
		if strings.HasPrefix(line, "| ") && !strings.HasPrefix(line, "| code") && !strings.HasPrefix(line, "| class") {
			rows++
		}
	}
	assert.Equal(t, rows, len(result.Table()))
	for _, row := range result.Table() {
		line := fmt.Sprintf("| %d | %s | %s | %s |", row.Code(), row.Name(), row.Code().Execution(), row.Meaning())
		assert.Assert(t, strings.Contains(string(text), line), "docs/RESULT-CODES.md lacks the row: %s", line)
	}
}

func TestCodesAreUnique(t *testing.T) {
	seen := make(map[result.Code]bool)
	for _, row := range result.Table() {
		assert.Assert(t, !seen[row.Code()], "code %d is in the table more than once", row.Code())
		seen[row.Code()] = true
	}
}

func TestExecutionOfCodes(t *testing.T) {
	tests := []struct {
		code result.Code
		want result.Execution
	}{
		{result.Complete, result.Run},
		{result.Overloaded, result.NotRun},
		{result.NoClaim, result.NotRun},
		{result.OutcomeUnknown, result.Unknown},
		{result.ClaimedBefore, result.Run},
	}
	for _, tt := range tests {
		assert.Equal(t, tt.code.Execution(), tt.want, tt.code.String())
	}
}

func ExampleNew() {
	err := result.New(result.NoTarget, "no target of service %s may be used now", "tilaajat-03")
	fmt.Println(err)
	fmt.Println(result.CodeOf(err).ExitStatus())
	// Output:
	// 205 no-target: no target of service tilaajat-03 may be used now
	// 2
}

func TestWrapKeepsItsCause(t *testing.T) {
	cause := &os.PathError{Op: "open", Path: "journal", Err: os.ErrNotExist}
	err := result.Wrap(result.Wrap(cause, result.JournalUnusable, "reading"), result.FolderUnusable, "opening")
	assert.ErrorIs(t, err, os.ErrNotExist)
	assert.Equal(t, result.CodeOf(err), result.FolderUnusable)
	assert.Equal(t, err.Error(), "501 folder-unusable: opening: 801 journal-unusable: reading: open journal: file does not exist")
}
