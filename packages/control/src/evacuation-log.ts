import type {FailureDomain} from '#model';
import type {Logger, Metrics} from '#telemetry';
import type {ControlMachine} from './state-machine.js';

/** Logs each domain that is evacuated or restored in a replica's state, and reports their number as a gauge. */
export class EvacuationLog {
  private logged: ReadonlySet<FailureDomain> = new Set();
  /** Unset until the gauge was first reported. */
  private loggedVersion: number | undefined;

  constructor(
    private readonly machine: ControlMachine,
    private readonly log: Logger,
    private readonly metrics: Metrics,
  ) {}

  /** Logs what has changed since the last call; nothing while the state is being built again. */
  tick(): void {
    const {evacuated, version} = this.machine.state.evacuations;
    if (version <= (this.loggedVersion ?? -1)) return;
    const added = [...evacuated].filter(domain => !this.logged.has(domain));
    const removed = [...this.logged].filter(domain => !evacuated.has(domain));
    for (const domain of added) {
      this.log.warn(
        {event: 'domain-evacuated', domain, version},
        'no task may start in the failure domain',
      );
    }
    for (const domain of removed) {
      this.log.info(
        {event: 'domain-restored', domain, version},
        'tasks may start in the failure domain again',
      );
    }
    this.loggedVersion = version;
    this.logged = new Set(evacuated);
    this.metrics.gauge('control.domains.evacuated', evacuated.size);
  }
}
