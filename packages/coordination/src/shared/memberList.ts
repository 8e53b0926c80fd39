/** Object `members/<failureDomain>`: the processes registered in a failure domain. */
import { z } from 'zod'
import { memberSchema, type Member } from '@buckthorndrift/protocol'
import type { StoredObject } from './objectStore.ts'

export const membersPrefix = 'members/'

const departedSchema = z.object({ id: z.string(), incarnation: z.string() }).readonly()

/** An endpoint process that is no longer registered. */
export type DepartedEndpoint = z.infer<typeof departedSchema>

/**
 * Layout of the object. `departed` names the endpoint processes that left the
 * registry, in the same write that removed them, so that a reclaim of slices
 * knows whose entries it lacks. The duty that applies the VM list forgets them.
 */
export const memberListSchema = z.object({
  members: z.array(memberSchema).readonly(),
  departed: z.array(departedSchema).readonly().default([])
}).readonly()
export type MemberList = z.infer<typeof memberListSchema>

const emptyList: MemberList = { members: [], departed: [] }

/** Name of the object of a failure domain. */
export function memberListName (failureDomain: string): string {
  return `${membersPrefix}${failureDomain}`
}

function listOf (object: StoredObject | undefined): MemberList {
  return memberListSchema.safeParse(object?.value).data ?? emptyList
}

/** Members in the object; none when it is missing or malformed. */
export function membersOf (object: StoredObject | undefined): readonly Member[] {
  return listOf(object).members
}

/** Endpoint processes in the object that left the registry and are not forgotten yet. */
export function departedEndpointsOf (object: StoredObject | undefined): readonly DepartedEndpoint[] {
  return listOf(object).departed
}

type ProcessLife = Pick<Member, 'id' | 'incarnation'>

function isSameProcess (left: ProcessLife, right: ProcessLife): boolean {
  return left.id === right.id && left.incarnation === right.incarnation
}

/** The list with other members; endpoint processes that are missing now are noted as departed. */
function replaceMembers (list: MemberList, members: readonly Member[]): MemberList {
  const removed = list.members.filter(member => member.role === 'endpoint' && !members.some(other => isSameProcess(other, member)))
  const departed = [...list.departed, ...removed.map(({ id, incarnation }) => ({ id, incarnation }))]
  return { members, departed: departed.filter(one => !members.some(member => isSameProcess(member, one))) }
}

/** Registers `self` in place of earlier incarnations; `undefined` when the list shows it as it is. */
export function withMember (object: StoredObject | undefined, self: Member): MemberList | undefined {
  const list = listOf(object)
  const present = list.members.find(member => member.id === self.id)
  if (present !== undefined && isSameProcess(present, self) && present.controlUrl === self.controlUrl) return undefined
  return replaceMembers(list, [...list.members.filter(member => member.id !== self.id), self])
}

/** Marks this incarnation as leaving; `undefined` when it is not listed or marked already. */
export function withLeaving (object: StoredObject | undefined, self: Member): MemberList | undefined {
  const list = listOf(object)
  const isListed = list.members.some(member => isSameProcess(member, self) && !member.leaving)
  if (!isListed) return undefined
  return { ...list, members: list.members.map(member => isSameProcess(member, self) ? { ...member, leaving: true } : member) }
}

/** Removes this incarnation only; `undefined` when it is not listed. */
export function withoutMember (object: StoredObject | undefined, self: Member): MemberList | undefined {
  const list = listOf(object)
  const others = list.members.filter(member => !isSameProcess(member, self))
  return others.length === list.members.length ? undefined : replaceMembers(list, others)
}

/** Applies the VM list: removes members of VMs that are gone, marks those of leaving VMs. `undefined` when nothing changes. */
export function withVmStates (object: StoredObject | undefined, goneVms: ReadonlySet<string>, leavingVms: ReadonlySet<string>): MemberList | undefined {
  const list = listOf(object)
  const after = list.members.filter(member => !goneVms.has(member.vm))
    .map(member => leavingVms.has(member.vm) && !member.leaving ? { ...member, leaving: true } : member)
  const isSame = after.length === list.members.length && after.every((member, index) => member === list.members[index])
  return isSame ? undefined : replaceMembers(list, after)
}

/** Forgets departed endpoint processes; `undefined` when none of them is noted. */
export function withoutDeparted (object: StoredObject | undefined, forgotten: readonly DepartedEndpoint[]): MemberList | undefined {
  const list = listOf(object)
  const kept = list.departed.filter(one => !forgotten.some(other => isSameProcess(other, one)))
  return kept.length === list.departed.length ? undefined : { ...list, departed: kept }
}
