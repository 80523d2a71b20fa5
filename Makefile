# Build, test, lint and run; the commands of CI and of the deploy file.
.PHONY: build test lint run adapter

build:
	mvn -q -DskipTests package

test:
	mvn -B verify

lint:
	mvn -B checkstyle:check@default

run: build
	sh -c "$$(sed -n 's/^run = "\(.*\)"$$/\1/p' deploy/balancer.toml)"

adapter: build
	sh -c "$$(sed -n 's/^sim = "\(.*\)"$$/\1/p' deploy/balancer.toml)"
