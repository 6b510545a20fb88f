package carried_test

import (
	"fmt"

	"monsoondale/common/carried"
)

func Example() {
	var ids carried.IDs
	ids.Add("r1")
	fmt.Println(ids.Has("r1"), ids.Has("r2"), ids.Full())
	for len(ids) < 512 {
		ids.Add("r1")
	}
	fmt.Println(ids.Full())
	// Output:
	// true false false
	// true
}
