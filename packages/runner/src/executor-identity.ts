import type {Instant} from '#model';
import type {ExecutorDescription} from '#protocol';
import type {ExecutorInfo, ExecutorReport} from './executor.js';
import {describeExecutor} from './run.js';

/** What an announcement changes about the executor. */
export type IdentityChange =
  /** It comes from an earlier incarnation than the latest one met. */
  | {readonly kind: 'outdated'}
  | {readonly kind: 'same'; readonly startsDraining: boolean}
  /** It comes from another incarnation than the announcement before. */
  | {
      readonly kind: 'replaced';
      readonly isSameId: boolean;
      /** True when the executor's lists have shown the incarnation before. */
      readonly isMet: boolean;
    };

/**
 * Which executor is at the runner's address: the latest announcement, and the latest incarnation met. The
 * executor's lists may show an incarnation before its announcement arrives, and a delayed announcement may
 * come from one that has gone.
 */
export class ExecutorIdentity {
  private announced: ExecutorInfo | undefined;
  private knownDescription: ExecutorDescription | undefined;
  private latestIncarnation = -Infinity;
  private metAt: Instant = -Infinity;

  /** The executor as it last announced itself. */
  get info(): ExecutorInfo | undefined {
    return this.announced;
  }

  /** The part of the announcement that dispatchers place by; replaced only when it has changed. */
  get description(): ExecutorDescription | undefined {
    return this.knownDescription;
  }

  /** True while the latest incarnation met has not announced itself. */
  get isSuperseded(): boolean {
    const {incarnation = -Infinity} = this.announced ?? {};
    return incarnation < this.latestIncarnation;
  }

  /** Applies an announcement. */
  announce(info: ExecutorInfo, now: Instant): IdentityChange {
    if (info.incarnation < this.latestIncarnation) return {kind: 'outdated'};
    const {announced: known, isSuperseded} = this;
    this.announced = info;
    this.knownDescription = describeExecutor(info, this.knownDescription);
    const isSameId = info.target === known?.target;
    if (isSameId && info.incarnation === known.incarnation) {
      return {kind: 'same', startsDraining: info.draining && !known.draining};
    }
    const isMet =
      isSameId && isSuperseded && info.incarnation === this.latestIncarnation;
    if (!isMet) this.metAt = now;
    this.latestIncarnation = info.incarnation;
    return {kind: 'replaced', isSameId, isMet};
  }

  /** Notes the incarnation that a report came from; true when it is later than all before. */
  noteReport({incarnation}: ExecutorReport, now: Instant): boolean {
    if (this.announced === undefined) return false;
    if (incarnation <= this.latestIncarnation) return false;
    this.latestIncarnation = incarnation;
    this.metAt = now;
    return true;
  }

  /** True for a report of the latest incarnation that was asked for since it was met, so that its fence was known there. */
  isCurrent({incarnation}: ExecutorReport, askedAt: Instant): boolean {
    return incarnation === this.latestIncarnation && askedAt >= this.metAt;
  }

  /** Notes that the executor is terminating. */
  markDraining(): void {
    if (this.announced !== undefined) {
      this.announced = {...this.announced, draining: true};
    }
  }
}
