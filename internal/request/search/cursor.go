package search

import (
	"encoding/base64"
	"errors"
	"strconv"
	"strings"
)

var errCursor = errors.New("is not one that an answer carried")

// formatCursor returns the cursor of the page that follows an identifier at one
// index version.
func formatCursor(version uint64, after string) string {
	return base64.RawURLEncoding.EncodeToString([]byte(strconv.FormatUint(version, 10) + "/" + after))
}

func parseCursor(cursor string) (version uint64, after string, err error) {
	raw, err := base64.RawURLEncoding.DecodeString(cursor)
	if err != nil {
		return 0, "", errCursor
	}
	head, after, found := strings.Cut(string(raw), "/")
	version, err = strconv.ParseUint(head, 10, 64)
	if err != nil || !found {
		return 0, "", errCursor
	}
	return version, after, nil
}
