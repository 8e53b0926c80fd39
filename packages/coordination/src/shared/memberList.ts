/** Object `members/<failureDomain>`: the processes registered in a failure domain. */
import { z } from 'zod'
import { memberSchema, type Member } from '@buckthorndrift/protocol'
import type { StoredObject } from './objectStore.ts'

export const membersPrefix = 'members/'

const departedSchema = z.object({ id: z.string(), incarnation: z.string() }).readonly()

/** An endpoint process that is no longer registered. */
export type DepartedEndpoint = z.infer<typeof departedSchema>

/**
 * Schema of the object. `departed` lists the endpoint processes that left the
 * registry. The write that removes a process from `members` also adds it to
 * `departed`, so that a router that reclaims budget slices knows which
 * processes it can no longer ask for their entries. `VmListReconciler` removes
 * them from `departed` later.
 */
export const memberListSchema = z.object({
  members: z.array(memberSchema).readonly(),
  departed: z.array(departedSchema).readonly().default([])
}).readonly()
export type MemberList = z.infer<typeof memberListSchema>

const emptyList: MemberList = { members: [], departed: [] }

/** Returns the name of the object with the members of a failure domain. */
export function memberListName (failureDomain: string): string {
  return `${membersPrefix}${failureDomain}`
}

function listOf (object: StoredObject | undefined): MemberList {
  return memberListSchema.safeParse(object?.value).data ?? emptyList
}

/** Returns the members in the object; none if it is missing or malformed. */
export function membersOf (object: StoredObject | undefined): readonly Member[] {
  return listOf(object).members
}

/** Returns the endpoint processes in the object that left the registry; none if it is missing or malformed. */
export function departedEndpointsOf (object: StoredObject | undefined): readonly DepartedEndpoint[] {
  return listOf(object).departed
}

type ProcessIdentity = Pick<Member, 'id' | 'incarnation'>

function isSameProcess (left: ProcessIdentity, right: ProcessIdentity): boolean {
  return left.id === right.id && left.incarnation === right.incarnation
}

/** Replaces the members. Endpoint processes that are no longer members are added to `departed`, and those that are members again are removed from it. */
function replaceMembers (list: MemberList, members: readonly Member[]): MemberList {
  const removed = list.members.filter(member => member.role === 'endpoint' && !members.some(other => isSameProcess(other, member)))
  const departed = [...list.departed, ...removed.map(({ id, incarnation }) => ({ id, incarnation }))]
  return { members, departed: departed.filter(entry => !members.some(member => isSameProcess(member, entry))) }
}

/** Adds `self` in place of other incarnations; `undefined` if this incarnation is listed already with the same `controlUrl`. */
export function withMember (object: StoredObject | undefined, self: Member): MemberList | undefined {
  const list = listOf(object)
  const present = list.members.find(member => member.id === self.id)
  if (present !== undefined && isSameProcess(present, self) && present.controlUrl === self.controlUrl) return undefined
  return replaceMembers(list, [...list.members.filter(member => member.id !== self.id), self])
}

/** Marks this incarnation as leaving; `undefined` if it is not listed or already marked. */
export function withLeaving (object: StoredObject | undefined, self: Member): MemberList | undefined {
  const list = listOf(object)
  const isListed = list.members.some(member => isSameProcess(member, self) && !member.leaving)
  if (!isListed) return undefined
  return { ...list, members: list.members.map(member => isSameProcess(member, self) ? { ...member, leaving: true } : member) }
}

/** Removes this incarnation only; `undefined` if it is not listed. */
export function withoutMember (object: StoredObject | undefined, self: Member): MemberList | undefined {
  const list = listOf(object)
  const others = list.members.filter(member => !isSameProcess(member, self))
  return others.length === list.members.length ? undefined : replaceMembers(list, others)
}

/** Removes members on VMs that are gone and marks those on leaving VMs; `undefined` if nothing changes. */
export function withVmStates (object: StoredObject | undefined, goneVms: ReadonlySet<string>, leavingVms: ReadonlySet<string>): MemberList | undefined {
  const list = listOf(object)
  const updated = list.members.filter(member => !goneVms.has(member.vm))
    .map(member => leavingVms.has(member.vm) && !member.leaving ? { ...member, leaving: true } : member)
  const isSame = updated.length === list.members.length && updated.every((member, index) => member === list.members[index])
  return isSame ? undefined : replaceMembers(list, updated)
}

/** Removes entries from `departed`; `undefined` if none of them is there. */
export function withoutDeparted (object: StoredObject | undefined, expired: readonly DepartedEndpoint[]): MemberList | undefined {
  const list = listOf(object)
  const kept = list.departed.filter(entry => !expired.some(other => isSameProcess(other, entry)))
  return kept.length === list.departed.length ? undefined : { ...list, departed: kept }
}
