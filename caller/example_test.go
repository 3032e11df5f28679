package caller_test

import (
	"context"
	"fmt"
	"net/netip"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"gooseberrymast/caller"
)

// A connect-go client uses a Client as its HTTP client.
func ExampleClient() {
	flow := &caller.Client{Addresses: []netip.AddrPort{netip.MustParseAddrPort("192.0.2.10:443")}}
	defer flow.Close()
	reserve := connect.NewClient[wrapperspb.StringValue, wrapperspb.StringValue](
		flow, "https://ledger.example/loans.v1.Loans/Reserve")
	answer, err := reserve.CallUnary(context.Background(), connect.NewRequest(wrapperspb.String("a pall")))
	if refusal, ok := caller.RefusalOf(nil, err); ok {
		fmt.Println(refusal.Sentence())
		return
	}
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(answer.Msg.GetValue())
}
