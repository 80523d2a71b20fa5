# Build, test, lint and run; the commands of CI and of the deploy file.
.PHONY: build test lint format run adapter lab

build:
	sh -c "$$(sed -n 's/^build = "\(.*\)"$$/\1/p' deploy/balancer.toml)"

test:
	mvn -B verify -f lab/all.xml

# The laboratory's jar, and the router's that it plays.
lab:
	mvn -q -DskipTests package -f lab/all.xml

# Format, Error Prone and Checkstyle over router and laboratory, without running tests.
lint:
	mvn -B verify -f lab/all.xml -Dmaven.test.skip.exec=true

# Rewrites all sources in the project's format.
format:
	mvn -B spotless:apply
	mvn -B spotless:apply -f lab/pom.xml

run: build
	sh -c "$$(sed -n 's/^run = "\(.*\)"$$/\1/p' deploy/balancer.toml)"

adapter: build
	sh -c "$$(sed -n 's/^sim = "\(.*\)"$$/\1/p' deploy/balancer.toml)"

# Troubled streams against the program as a process: SEED chooses them; SCALE is healthy and troubled streams.
.PHONY: proof-streams
proof-streams:
	@timeout 90 java -Xmx1g -cp target/test-classes:target/magpiehub.jar \
	    magpiehub.streaming.StreamFaultRun $(SEED) $(SCALE)

# Faulty engines, clients that stay until the kill, signals in series: SEED is the first of RUNS seeds.
.PHONY: proof-soak
RUNS ?= 1
proof-soak:
	@java -Xmx512m -cp target/test-classes:target/magpiehub.jar magpiehub.SoakRun $(SEED) $(RUNS)

# The registry client against a fake registry: SEED chooses the faults; SCALE is endpoints, changes, clients, complete clients.
.PHONY: proof-registry
SEED ?= 1
proof-registry:
	@timeout 90 java -Xmx2g -cp target/test-classes:target/magpiehub.jar \
	    magpiehub.discovery.RegistryFaultInjection $(SEED) $(SCALE)

# One core, one thread at a time, others standing still anywhere: SEED chooses which; STEP is seconds and "spin" plants one.
.PHONY: proof-step
proof-step:
	@timeout 120 java -Xmx256m -cp target/test-classes:target/magpiehub.jar magpiehub.SpinWaitDetector $(SEED) $(STEP)

# Nine routers over three sites and a loss drawn from SEED; CASE names one instead, BASE an older jar beside it.
.PHONY: proof-site
proof-site:
	@timeout 120 java -jar lab/target/magpiehub-lab.jar proof-site $(SEED) --site '{}' $(if $(CASE),--case $(CASE)) \
	    $(if $(BASE),--base $(BASE))
