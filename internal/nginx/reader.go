package nginx

import (
	"fmt"
	"strings"
)

// directive is one directive of a configuration: its words, the first of which is its name, and its block, if any.
type directive struct {
	line  int
	words []string
	block []directive
}

// maxDepth limits how deep blocks may be nested.
const maxDepth = 16

// reader splits a text into words and directives.
type reader struct {
	file string // for errors
	text string

	offset int // offset of the next byte
	line   int // of that byte, from 1
}

// errorAt returns an error that names the file and a line of it.
func (r *reader) errorAt(line int, format string, args ...any) error {
	return fmt.Errorf("%s:%d: %s", r.file, line, fmt.Sprintf(format, args...))
}

// word returns the next token: a word, or one of ; { and }. quoted reports whether a word was in quotes; an empty token
// without quotes marks the end of the text.
func (r *reader) word() (word string, quoted bool, err error) {
	for r.offset < len(r.text) {
		switch next := r.text[r.offset]; next {
		case '\n':
			r.line++
			r.offset++
		case ' ', '\t', '\r':
			r.offset++
		case '#':
			r.skipComment()
		case ';', '{', '}':
			r.offset++
			return string(next), false, nil
		case '"', '\'':
			return r.quoted(next)
		default:
			return r.plainWord(), false, nil
		}
	}
	return "", false, nil
}

// skipComment moves to the end of the line.
func (r *reader) skipComment() {
	if length := strings.IndexByte(r.text[r.offset:], '\n'); length >= 0 {
		r.offset += length
	} else {
		r.offset = len(r.text)
	}
}

// plainWord reads a word without quotes. It ends before whitespace, ;, { or }.
func (r *reader) plainWord() string {
	start := r.offset
	for r.offset < len(r.text) && !strings.ContainsRune(" \t\r\n;{}", rune(r.text[r.offset])) {
		if strings.HasPrefix(r.text[r.offset:], "${") { // the braces of a variable do not open a block
			r.offset += max(1, strings.IndexByte(r.text[r.offset:], '}'))
		}
		r.offset++
	}
	return r.text[start:min(r.offset, len(r.text))]
}

// quoted reads a quoted word up to its closing quote. A backslash escapes the next byte.
func (r *reader) quoted(quote byte) (string, bool, error) {
	startLine := r.line
	var text strings.Builder
	for r.offset++; r.offset < len(r.text); r.offset++ {
		switch next := r.text[r.offset]; {
		case next == quote:
			r.offset++
			return text.String(), true, nil
		case next == '\\' && r.offset+1 < len(r.text):
			r.offset++
			text.WriteByte(r.text[r.offset])
		default:
			if next == '\n' {
				r.line++
			}
			text.WriteByte(next)
		}
	}
	return "", false, r.errorAt(startLine, "a quote that does not end")
}

// block reads directives up to the end of the block, or, at depth 0, of the text.
func (r *reader) block(depth int) ([]directive, error) {
	if depth > maxDepth {
		return nil, r.errorAt(r.line, "blocks inside one another too deep")
	}
	var list []directive
	var current directive
	for {
		word, quoted, err := r.word()
		if err != nil {
			return nil, err
		}
		switch {
		case !quoted && word == "" || !quoted && word == "}":
			if len(current.words) > 0 {
				return nil, r.errorAt(current.line, "%q does not end in ; or a block", current.words[0])
			}
			if (word == "") != (depth == 0) {
				return nil, r.errorAt(r.line, "braces that do not match")
			}
			return list, nil
		case !quoted && (word == ";" || word == "{"):
			if len(current.words) == 0 {
				return nil, r.errorAt(r.line, "%q without a directive", word)
			}
			if word == "{" {
				if current.block, err = r.block(depth + 1); err != nil {
					return nil, err
				}
			}
			list = append(list, current)
			current = directive{}
		default:
			if len(current.words) == 0 {
				current.line = r.line
			}
			current.words = append(current.words, word)
		}
	}
}
