package bounded_test

import (
	"fmt"
	"strings"
	"testing"

	"monsoondale/common/bounded"
)

func ExampleReadAll() {
	b, err := bounded.ReadAll(strings.NewReader("four"), 4)
	fmt.Printf("%s %v\n", b, err)
	_, err = bounded.ReadAll(strings.NewReader("seven.."), 4)
	fmt.Println(err)
	// Output:
	// four <nil>
	// the answer exceeds 4 bytes
}

// Guards against a truncated response that is taken for a complete one.
func TestReadAllDoesNotTruncate(t *testing.T) {
	for limit := range int64(10) {
		b, err := bounded.ReadAll(strings.NewReader("12345"), limit)
		if complete := limit >= 5; complete != (err == nil) || complete != (string(b) == "12345") {
			t.Errorf("limit %d: %q, %v", limit, b, err)
		}
	}
}
