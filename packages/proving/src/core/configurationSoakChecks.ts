import type {
  ConfigurationProbe,
  ConfigurationRecord,
  ConfigurationVersion,
  ProcessSoakRecord,
  ProcessSoakViolation,
} from '../types/processSoak.js';
import { parseTaskId } from './crashSoakJobs.js';

/** Time after which a version is in force, in milliseconds. */
const APPLY_MILLISECONDS = 2_000;
/** Time without a disturbance after which a VM has to keep to that, in milliseconds. */
const CONTACT_MILLISECONDS = 3_000;
const STATUS_OK = 200;
const STATUS_UNAUTHORIZED = 401;
const STATUS_NOT_FOUND = 404;
const REJECTIONS: ReadonlySet<number> = new Set([400, 401, 403, 404, 413, 429, 503]);

function expectedStatus({ queues, keys }: ConfigurationVersion, probe: ConfigurationProbe): number {
  if (!queues.includes(probe.queue)) return STATUS_NOT_FOUND;
  return keys.includes(probe.key) ? STATUS_OK : STATUS_UNAUTHORIZED;
}

/** @returns versions by which a probe may be answered */
function findVersions(
  versions: readonly ConfigurationVersion[],
  { sentAt, answeredAt }: ConfigurationProbe,
): ConfigurationVersion[] {
  return versions.filter(({ at }, index) => {
    const replacedAt = versions[index + 1]?.at ?? Infinity;
    return at <= answeredAt && replacedAt >= sentAt - APPLY_MILLISECONDS;
  });
}

/** A VM in touch answers by a version that is in force; answers that depend on no version are not judged. */
export function checkProbes({ versions, probes, vmDisturbances }: ConfigurationRecord) {
  const isInTouch = ({ vm, sentAt, answeredAt }: ConfigurationProbe) =>
    !(vmDisturbances.get(vm) ?? []).some(
      ({ from, until }) => from <= answeredAt && until >= sentAt - CONTACT_MILLISECONDS,
    );
  return probes.flatMap((probe): ProcessSoakViolation[] => {
    const { vm, queue, key, sentAt, status } = probe;
    if (![STATUS_OK, STATUS_UNAUTHORIZED, STATUS_NOT_FOUND].includes(status)) return [];
    const allowed = findVersions(versions, probe).map((version) => expectedStatus(version, probe));
    if (allowed.includes(status) || !isInTouch(probe)) return [];
    const text = `${vm} answers ${status} for queue ${queue} and key ${key}, in force: ${allowed.join(' or ')}`;
    return [{ rule: 'CONFIG', at: sentAt, jobId: null, text }];
  });
}

/** A job of which each submission was rejected does not run. */
export function checkRefusedJobs({
  jobs,
  runs,
}: Pick<ProcessSoakRecord, 'jobs' | 'runs'>): ProcessSoakViolation[] {
  const startedJobs = new Set(runs.map(({ taskId }) => parseTaskId(taskId).jobId));
  return jobs.flatMap(({ job: { jobId }, submissionStatuses }): ProcessSoakViolation[] => {
    const isRejected =
      submissionStatuses.length > 0 && submissionStatuses.every((status) => REJECTIONS.has(status));
    if (!isRejected || !startedJobs.has(jobId)) return [];
    const text = `job ${jobId} runs, and its submissions were rejected: ${submissionStatuses.join(', ')}`;
    return [{ rule: 'REFUSED', at: 0, jobId, text }];
  });
}
