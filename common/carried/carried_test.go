package carried_test

import (
	"fmt"

	"monsoondale/common/carried"
)

func Example() {
	var ids carried.IDs
	ids.Add(carried.Hash("r1"))
	fmt.Println(ids.Has(carried.Hash("r1")), ids.Has(carried.Hash("r2")), ids.Full())
	for len(ids) < 512 {
		ids.Add(carried.Hash("r1"))
	}
	fmt.Println(ids.Full())
	// Output:
	// true false false
	// true
}
