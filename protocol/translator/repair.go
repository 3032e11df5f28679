package translator

import (
	"math"

	"gooseberrymast/coordination/messenger"
	"gooseberrymast/protocol/messages/control"
	"gooseberrymast/state/directory"
)

func encodeCells(cells *messenger.Cells) *control.Cells {
	encoded := &control.Cells{}
	for _, digest := range cells.Digests {
		encoded.Cells = append(encoded.Cells, uint32(digest.Cell))
		encoded.Digests = append(encoded.Digests, digest.Digest)
	}
	return encoded
}

func decodeCells(cells *control.Cells) (*messenger.Cells, error) {
	if len(cells.GetCells()) != len(cells.GetDigests()) {
		return nil, ErrLengthMismatch
	}
	decoded := &messenger.Cells{}
	for i, id := range cells.GetCells() {
		decoded.Digests = append(decoded.Digests, directory.CellDigest{
			Cell: directory.CellID(id), Digest: cells.GetDigests()[i],
		})
	}
	return decoded, nil
}

func decodeBuckets(buckets *control.Buckets) (*messenger.Buckets, error) {
	if len(buckets.GetDigests()) != directory.BucketCount {
		return nil, ErrLengthMismatch
	}
	decoded := &messenger.Buckets{Cell: directory.CellID(buckets.GetCell())}
	copy(decoded.Digests[:], buckets.GetDigests())
	return decoded, nil
}

func encodeVersions(versions *messenger.Versions) *control.Versions {
	encoded := &control.Versions{Cell: uint32(versions.Cell), Mask: uint32(versions.Mask)}
	for _, version := range versions.Versions {
		encoded.Addresses = append(encoded.Addresses, uint64(version.Key))
		encoded.Incarnations = append(encoded.Incarnations, version.Incarnation)
		encoded.Sequences = append(encoded.Sequences, version.Sequence)
		encoded.Losses = append(encoded.Losses, uint32(version.Loss))
	}
	return encoded
}

func decodeVersions(versions *control.Versions) (*messenger.Versions, error) {
	count := len(versions.GetAddresses())
	if len(versions.GetIncarnations()) != count || len(versions.GetSequences()) != count || len(versions.GetLosses()) != count {
		return nil, ErrLengthMismatch
	}
	if versions.GetMask() > math.MaxUint16 {
		return nil, ErrOutOfRange
	}
	decoded := &messenger.Versions{Cell: directory.CellID(versions.GetCell()), Mask: uint16(versions.GetMask())}
	for i, address := range versions.GetAddresses() {
		decoded.Versions = append(decoded.Versions, directory.Version{
			Key:         directory.Key(address),
			Incarnation: versions.GetIncarnations()[i],
			Sequence:    versions.GetSequences()[i],
			Loss:        directory.Loss(versions.GetLosses()[i]),
		})
	}
	return decoded, nil
}

func encodeWant(want *messenger.Want) *control.Want {
	encoded := &control.Want{}
	for _, id := range want.Cells {
		encoded.Cells = append(encoded.Cells, uint32(id))
	}
	for _, key := range want.Keys {
		encoded.Addresses = append(encoded.Addresses, uint64(key))
	}
	return encoded
}

func decodeWant(want *control.Want) *messenger.Want {
	decoded := &messenger.Want{}
	for _, id := range want.GetCells() {
		decoded.Cells = append(decoded.Cells, directory.CellID(id))
	}
	for _, key := range want.GetAddresses() {
		decoded.Keys = append(decoded.Keys, directory.Key(key))
	}
	return decoded
}

func encodeReport(report messenger.Report) *control.Report {
	encoded := &control.Report{}
	for _, count := range report.Counts {
		row := &control.Count{Number: count.Number, Instances: uint32(count.Instances)}
		for _, instance := range count.Identities {
			row.Addresses = append(row.Addresses, uint64(directory.KeyOf(instance.Address)))
			row.Incarnations = append(row.Incarnations, uint32(instance.Incarnation))
		}
		encoded.Counts = append(encoded.Counts, row)
	}
	return encoded
}

func decodeReport(report *control.Report) (messenger.Report, error) {
	var decoded messenger.Report
	for _, count := range report.GetCounts() {
		if len(count.GetAddresses()) != len(count.GetIncarnations()) {
			return messenger.Report{}, ErrLengthMismatch
		}
		row := messenger.RevisionCount{Number: count.GetNumber(), Instances: int(count.GetInstances())}
		for i, address := range count.GetAddresses() {
			row.Identities = append(row.Identities, decodeIdentity(address, count.GetIncarnations()[i]))
		}
		decoded.Counts = append(decoded.Counts, row)
	}
	return decoded, nil
}

func encodeAnswer(answer *messenger.Answer) *control.Answer {
	return &control.Answer{
		Id:              answer.ID,
		Report:          encodeReport(answer.Report),
		Root:            uint64(directory.KeyOf(answer.Root.Address)),
		RootIncarnation: uint32(answer.Root.Incarnation),
	}
}

func decodeAnswer(answer *control.Answer) (*messenger.Answer, error) {
	report, err := decodeReport(answer.GetReport())
	if err != nil {
		return nil, err
	}
	return &messenger.Answer{
		ID: answer.GetId(), Report: report, Root: decodeIdentity(answer.GetRoot(), answer.GetRootIncarnation()),
	}, nil
}
