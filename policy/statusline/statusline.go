// Package statusline finds the status lines of HTTP answers among bytes. An endpoint may send an answer that
// breaks off anywhere, and what it sends next then goes on in the same line: the next answer's status line
// stands in the midst of a line of the first one's head.
//
// Load pattern: endpoints send additional bytes ahead of some answers, or break off in the midst of an answer.
//
// Without it: both heads are read as one, which has the status of one answer and the request's id of the
// other. A refusal is believed that no endpoint gave, and the request runs twice.
//
// The package has no network and no clock.
package statusline

import "bytes"

// form is the part of a status line by which it is found; 0 stands for any digit.
const form = "HTTP/0.0 000"

// Length is the number of bytes by which a status line is found.
const Length = len(form)

// mayBegin reports whether b begins with a status line, or is too short to tell.
func mayBegin(b []byte) bool {
	for i := range min(len(b), Length) {
		if c := form[i]; c != b[i] && (c != '0' || b[i] < '0' || b[i] > '9') {
			return false
		}
	}
	return true
}

// First returns where the first status line in b begins, or, if b holds no whole one, where one may begin
// that goes on behind b; len(b) if nowhere.
func First(b []byte) int {
	for at := 0; at < len(b); at++ {
		i := bytes.IndexByte(b[at:], form[0])
		if i < 0 {
			break
		}
		if at += i; mayBegin(b[at:]) {
			return at
		}
	}
	return len(b)
}

// Last returns where the last whole status line in b begins, -1 if there is none.
func Last(b []byte) int {
	for end := len(b) - Length + 1; end > 0; {
		i := bytes.LastIndexByte(b[:end], form[0])
		if i < 0 || mayBegin(b[i:]) {
			return i
		}
		end = i
	}
	return -1
}

// InHead reports whether the head of an answer, of which these are the reason and the header, goes on as
// another answer's: the head holds a second status line.
func InHead(reason string, header map[string][]string) bool {
	if Last([]byte(reason)) >= 0 {
		return true
	}
	for _, values := range header {
		for _, v := range values {
			if Last([]byte(v)) >= 0 {
				return true
			}
		}
	}
	return false
}
