package document

import (
	"fmt"
	"strings"

	"github.com/mulberrydale/mulberrydale/core/result"
)

// Fault is one error in a document with its location and a suggested
// correction.
type Fault struct {
	code    result.Code
	path    string
	line    int
	column  int
	message string
	remedy  string
}

// Code returns the result code of the fault.
func (f Fault) Code() result.Code { return f.code }

// Path returns the JSON pointer to the invalid value, or for a missing key to
// the object that lacks it. It is the empty string for the whole document.
func (f Fault) Path() string { return f.path }

// Line returns the line of the fault, counted from 1.
func (f Fault) Line() int { return f.line }

// Column returns the column of the fault in bytes, counted from 1.
func (f Fault) Column() int { return f.column }

// Message describes the fault.
func (f Fault) Message() string { return f.message }

// Remedy describes how to correct the fault.
func (f Fault) Remedy() string { return f.remedy }

// String returns the result code, location, message and remedy on one line.
func (f Fault) String() string {
	location := fmt.Sprintf("line %d, column %d", f.line, f.column)
	if f.path != "" {
		location += " (" + f.path + ")"
	}
	return fmt.Sprintf("%d %s: %s: %s; %s", f.code, f.code, location, f.message, f.remedy)
}

// Faults is an error that lists all faults of a document.
type Faults struct {
	list []Fault
}

// List returns the faults in the order in which they were found.
func (f *Faults) List() []Fault { return f.list }

// Code returns the result code of the first fault.
func (f *Faults) Code() result.Code { return f.list[0].code }

// Error returns all faults, one on each line.
func (f *Faults) Error() string {
	lines := make([]string, 0, len(f.list))
	for _, fault := range f.list {
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "\n")
}
