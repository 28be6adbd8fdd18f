package membership

import (
	"encoding/json"
	"strings"
	"testing"
	"time"
)

// exampleMember returns a member with a nonzero value in each field.
func exampleMember() Member {
	return Member{Name: "lb-1", Incarnation: 1 << 63, Zone: "dc-a", Region: "java", Version: "v1.2", State: Draining, Capacity: 50,
		Config: 255, Successor: true, Address: "10.0.0.1:7946"}
}

// exampleStatus returns a status with a nonzero value in each field.
func exampleStatus() Status {
	return Status{
		Self:             exampleMember(),
		View:             View{Members: []Member{exampleMember()}},
		Fenced:           true,
		Minority:         true,
		Agreeing:         1,
		Diverging:        2,
		Lost:             3,
		RejectedMessages: 4,
		TransportErrors:  5,
		FleetSize:        FleetSize{RoutingDivisor: 6, Rank: 7, BudgetDivisor: 8},
		ViewAge:          9 * time.Second,
	}
}

// The encoded forms are read by other processes, including those of other versions, and must not change by accident.
func TestEncodedFormsAreStable(t *testing.T) {
	metadata, err := encodeMetadata(exampleMember())
	if err != nil {
		t.Fatal(err)
	}
	minimal, err := encodeMetadata(Member{Name: "a", Incarnation: 1})
	if err != nil {
		t.Fatal(err)
	}
	var answer, metrics strings.Builder
	if err := exampleStatus().Write(&answer); err != nil {
		t.Fatal(err)
	}
	if err := exampleStatus().WriteMetrics(&metrics); err != nil {
		t.Fatal(err)
	}
	statusJSON, err := json.Marshal(exampleStatus())
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ name, got, want string }{
		{"metadata", string(metadata), `{"f":1,"s":1,"n":"lb-1","i":9223372036854775808,"z":"dc-a","r":"java","v":"v1.2","t":2,"c":50,"d":255,"u":true}`},
		{"metadata without optional fields", string(minimal), `{"f":1,"s":1,"n":"a","i":1,"t":0}`},
		{"node name", exampleMember().ProcessID().nodeName(), "lb-1/8000000000000000"},
		{"answer to members", answer.String(), `self "lb-1" incarnation 9223372036854775808 state draining fenced true minority true digest a3d66c6b1bd8d107 same 1 differ 2 lost 3 refused 4 complaints 5 balancers 6 rank 7 most 8
member "lb-1" incarnation 9223372036854775808 state draining zone "dc-a" region "java" version "v1.2" capacity 50 config ff at 10.0.0.1:7946
`},
		{"metrics", metrics.String(), `svc_members{state="joining"} 0
svc_members{state="serving"} 0
svc_members{state="draining"} 1
svc_members{state="leaving"} 0
svc_members_lost 3
svc_members_agreeing 1
svc_members_differing 2
svc_members_fenced 1
svc_members_minority 1
svc_members_refused 4
svc_members_complaints 5
svc_members_divisor 6
svc_members_divisor_safe 8
svc_members_view_age_s 9
`},
		{"JSON of balancerctl members", string(statusJSON), `{"Self":{"Name":"lb-1","Incarnation":9223372036854775808,"Zone":"dc-a","Region":"java","Version":"v1.2","State":2,"Capacity":50,"Config":255,"Successor":true,"Address":"10.0.0.1:7946"},"View":{"Members":[{"Name":"lb-1","Incarnation":9223372036854775808,"Zone":"dc-a","Region":"java","Version":"v1.2","State":2,"Capacity":50,"Config":255,"Successor":true,"Address":"10.0.0.1:7946"}]},"Fenced":true,"Minority":true,"Same":1,"Other":2,"Lost":3,"Refused":4,"Grumbles":5,"Division":{"Balancers":6,"Rank":7,"Most":8},"Age":9000000000}`},
	} {
		t.Run(c.name, func(t *testing.T) {
			if c.got != c.want {
				t.Errorf("got %s\nwant %s", c.got, c.want)
			}
		})
	}
}
